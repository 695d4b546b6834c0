// Encodes, signs, verifies and decodes frames.
#include "wire/frame_codec.hpp"

#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>

#include <algorithm>
#include <utility>

namespace samphirespool::wire {

namespace {

constexpr std::size_t version_offset = length_bytes;
constexpr std::size_t kind_offset = version_offset + 1;
constexpr std::size_t session_offset = kind_offset + 1;
constexpr std::size_t sequence_offset = session_offset + 4;
constexpr std::size_t wall_offset = sequence_offset + 4;
constexpr std::size_t logical_offset = wall_offset + 8;
constexpr std::size_t tag_offset = logical_offset + 4;
constexpr std::size_t min_key_bytes = 16;
constexpr std::size_t sha256_bytes = 32;

template <class Number>
void write_little_endian(std::uint8_t* at, Number value) {
    for (std::size_t i = 0; i < sizeof(Number); ++i)
        at[i] = static_cast<std::uint8_t>(static_cast<std::uint64_t>(value) >> (8 * i));
}

template <class Number>
Number read_little_endian(const std::uint8_t* at) {
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < sizeof(Number); ++i)
        value |= static_cast<std::uint64_t>(at[i]) << (8 * i);
    return static_cast<Number>(value);
}

std::uint32_t session_of(const challenge& session_challenge) {
    return read_little_endian<std::uint32_t>(session_challenge.data());
}

std::span<const std::uint8_t> as_bytes(const std::string& text) {
    return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

int hex_digit(char c) {
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    if (c >= 'A' && c <= 'F')
        return c - 'A' + 10;
    return -1;
}

std::optional<bytes> parse_hex(std::string_view text) {
    if (text.size() % 2 != 0)
        return std::nullopt;
    bytes result;
    for (std::size_t i = 0; i < text.size(); i += 2) {
        const auto high = hex_digit(text[i]);
        const auto low = hex_digit(text[i + 1]);
        if (high < 0 || low < 0)
            return std::nullopt;
        result.push_back(static_cast<std::uint8_t>(high * 16 + low));
    }
    return result;
}

EVP_MAC_CTX* make_mac_context(const bytes& key) {
    auto* mac = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
    auto* context = EVP_MAC_CTX_new(mac);
    EVP_MAC_free(mac);
    char digest[] = "SHA256";
    const std::array<OSSL_PARAM, 2> parameters = {
        OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digest, 0),
        OSSL_PARAM_construct_end()};
    EVP_MAC_init(context, key.data(), key.size(), parameters.data());
    return context;
}

} // namespace

std::optional<std::vector<bytes>> parse_fleet_keys(std::span<const std::string> hex_keys) {
    if (hex_keys.empty() || hex_keys.size() > max_fleet_keys)
        return std::nullopt;
    std::vector<bytes> keys;
    for (const auto& text : hex_keys) {
        auto key = parse_hex(text);
        if (!key || key->size() < min_key_bytes)
            return std::nullopt;
        keys.push_back(std::move(*key));
    }
    return keys;
}

frame_signer::frame_signer(std::span<const bytes> keys) {
    for (const auto& key : keys)
        this->contexts.push_back(make_mac_context(key));
}

frame_signer::~frame_signer() {
    for (auto* context : this->contexts)
        EVP_MAC_CTX_free(context);
}

frame_tag frame_signer::compute_tag(std::size_t key,
                                    std::span<const std::span<const std::uint8_t>> parts) const {
    auto* context = this->contexts[key];
    // Without a key, EVP_MAC_init restarts the context with its current key.
    EVP_MAC_init(context, nullptr, 0, nullptr);
    for (const auto& part : parts)
        EVP_MAC_update(context, part.data(), part.size());
    std::array<std::uint8_t, sha256_bytes> digest{};
    std::size_t written = 0;
    EVP_MAC_final(context, digest.data(), &written, digest.size());
    frame_tag tag{};
    std::copy_n(digest.begin(), tag.size(), tag.begin());
    return tag;
}

frame_tag frame_signer::sign(std::span<const std::span<const std::uint8_t>> parts) const {
    return this->compute_tag(0, parts);
}

bool frame_signer::verify(std::span<const std::span<const std::uint8_t>> parts,
                          const frame_tag& tag) const {
    for (std::size_t key = 0; key < this->contexts.size(); ++key) {
        const auto expected = this->compute_tag(key, parts);
        if (CRYPTO_memcmp(expected.data(), tag.data(), tag.size()) == 0)
            return true;
    }
    return false;
}

frame_encoder::frame_encoder(const frame_signer& signer, const challenge& session_challenge,
                             const helpers::endpoint& receiver)
    : signer(signer),
      session_challenge(session_challenge),
      receiver(helpers::to_string(receiver)) {}

void frame_encoder::append(bytes& output, frame_kind kind, kernel::hybrid_time time,
                           std::span<const std::uint8_t> payload) {
    const auto start = output.size();
    output.resize(start + header_bytes);
    auto* header = output.data() + start;
    write_little_endian(header,
                        static_cast<std::uint32_t>(header_bytes - length_bytes + payload.size()));
    header[version_offset] = protocol_version;
    header[kind_offset] = static_cast<std::uint8_t>(kind);
    write_little_endian(header + session_offset, session_of(this->session_challenge));
    write_little_endian(header + sequence_offset, ++this->sequence);
    write_little_endian(header + wall_offset, time.wall);
    write_little_endian(header + logical_offset, time.logical);
    const std::array<std::span<const std::uint8_t>, 4> parts = {
        this->session_challenge, as_bytes(this->receiver), std::span(header, tag_offset), payload};
    const auto tag = this->signer.sign(parts);
    std::copy(tag.begin(), tag.end(), header + tag_offset);
    output.insert(output.end(), payload.begin(), payload.end());
}

frame_decoder::frame_decoder(const frame_signer& signer, const challenge& session_challenge,
                             const helpers::endpoint& own_address, frame_handler on_frame,
                             fault_handler on_fault)
    : signer(signer),
      session_challenge(session_challenge),
      own_address(helpers::to_string(own_address)),
      on_frame(std::move(on_frame)),
      on_fault(std::move(on_fault)) {}

std::size_t frame_decoder::consume(std::span<const std::uint8_t> input) {
    std::size_t consumed = 0;
    while (!this->boundary_lost && input.size() - consumed >= length_bytes) {
        const auto rest = input.subspan(consumed);
        const auto total =
            length_bytes + std::size_t{read_little_endian<std::uint32_t>(rest.data())};
        if (total > this->max_bytes || total < header_bytes) {
            this->boundary_lost = true;
            this->on_fault(total > this->max_bytes ? frame_fault::oversized : frame_fault::garbage);
            break;
        }
        if (rest.size() < total)
            break;
        this->process_frame(rest.first(total));
        consumed += total;
    }
    return consumed;
}

void frame_decoder::on_connection_closed(std::size_t unread) {
    if (unread > 0 && !this->boundary_lost)
        this->on_fault(frame_fault::truncated);
}

void frame_decoder::process_frame(std::span<const std::uint8_t> frame) {
    const auto* header = frame.data();
    const auto payload = frame.subspan(header_bytes);
    if (header[version_offset] != protocol_version) {
        this->on_fault(frame_fault::garbage);
        return;
    }
    const auto sequence = read_little_endian<std::uint32_t>(header + sequence_offset);
    const auto session = read_little_endian<std::uint32_t>(header + session_offset);
    if (session != session_of(this->session_challenge) || sequence <= this->last_sequence) {
        this->on_fault(frame_fault::replayed);
        return;
    }
    frame_tag tag{};
    std::copy_n(header + tag_offset, tag.size(), tag.begin());
    const std::array<std::span<const std::uint8_t>, 4> parts = {
        this->session_challenge, as_bytes(this->own_address), frame.first(tag_offset), payload};
    if (!this->signer.verify(parts, tag)) {
        this->on_fault(frame_fault::wrong_key);
        return;
    }
    this->last_sequence = sequence;
    this->on_frame({static_cast<frame_kind>(header[kind_offset]),
                    {read_little_endian<std::int64_t>(header + wall_offset),
                     read_little_endian<std::uint32_t>(header + logical_offset)},
                    payload});
}

} // namespace samphirespool::wire
