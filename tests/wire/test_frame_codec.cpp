// Tests of the frame codec: signatures, replay protection, key rotation, and mutated input.
#include "kernel/random.hpp"
#include "wire/frame_codec.hpp"

#include <doctest/doctest.h>

#include <array>

using namespace samphirespool;

namespace {

const helpers::endpoint receiver_address{"10.0.0.2", 7000};
const std::vector<std::string> new_and_old_key = {"000102030405060708090a0b0c0d0e0f",
                                                  "f0f1f2f3f4f5f6f7f8f9fafbfcfdfeff"};

wire::frame_signer make_signer(std::vector<std::string> hex) {
    return wire::frame_signer(wire::parse_fleet_keys(hex).value());
}

struct connection {
    explicit connection(const wire::frame_signer& sender, const wire::frame_signer& receiver,
                        std::uint8_t session = 1)
        : session_challenge{session},
          encoder(sender, this->session_challenge, receiver_address),
          decoder(
              receiver, this->session_challenge, receiver_address,
              [this](const wire::received_frame& frame) {
                  this->payloads.emplace_back(frame.payload.begin(), frame.payload.end());
              },
              [this](wire::frame_fault fault) { ++this->faults[static_cast<int>(fault)]; }) {}

    wire::bytes encode(const wire::bytes& payload) {
        wire::bytes output;
        this->encoder.append(output, wire::frame_kind::shares, {5, 6}, payload);
        return output;
    }

    int faults_of(wire::frame_fault fault) const { return this->faults[static_cast<int>(fault)]; }

    wire::challenge session_challenge;
    wire::frame_encoder encoder;
    wire::frame_decoder decoder;
    std::vector<wire::bytes> payloads;
    std::array<int, wire::frame_fault_count> faults{};
};

} // namespace

TEST_CASE("frames are decoded in order however the stream is split") {
    const auto signer = make_signer(new_and_old_key);
    connection link(signer, signer);
    auto stream = link.encode({1, 2, 3});
    const auto second = link.encode({});
    stream.insert(stream.end(), second.begin(), second.end());
    wire::bytes pending;
    for (const auto byte : stream) {
        pending.push_back(byte);
        const auto consumed = link.decoder.consume(pending);
        pending.erase(pending.begin(), pending.begin() + static_cast<long>(consumed));
    }
    CHECK(pending.empty());
    CHECK(link.payloads == std::vector<wire::bytes>{{1, 2, 3}, {}});
}

TEST_CASE("both keys of a key rotation are accepted and an unknown key is not") {
    const auto both = make_signer(new_and_old_key);
    const auto old_only = make_signer({new_and_old_key[1]});
    const auto foreign = make_signer({"99999999999999999999999999999999"});
    connection from_old(old_only, both);
    from_old.decoder.consume(from_old.encode({1}));
    CHECK(from_old.payloads.size() == 1);
    connection from_foreign(foreign, both);
    from_foreign.decoder.consume(from_foreign.encode({1}));
    CHECK(from_foreign.payloads.empty());
    CHECK(from_foreign.faults_of(wire::frame_fault::wrong_key) == 1);
}

TEST_CASE("a frame replayed on the same or another connection is rejected") {
    const auto signer = make_signer(new_and_old_key);
    connection link(signer, signer, 1);
    connection other(signer, signer, 2);
    const auto frame = link.encode({7});
    link.decoder.consume(frame);
    link.decoder.consume(frame);
    other.decoder.consume(frame);
    CHECK(link.payloads.size() == 1);
    CHECK(other.payloads.empty());
    CHECK(link.faults_of(wire::frame_fault::replayed) == 1);
    CHECK(other.faults_of(wire::frame_fault::replayed) == 1);
}

TEST_CASE("a frame meant for another router is rejected") {
    const auto signer = make_signer(new_and_old_key);
    connection link(signer, signer);
    wire::frame_encoder to_other_router(signer, link.session_challenge, {"10.0.0.3", 7000});
    wire::bytes output;
    to_other_router.append(output, wire::frame_kind::shares, {}, wire::bytes{1});
    link.decoder.consume(output);
    CHECK(link.payloads.empty());
    CHECK(link.faults_of(wire::frame_fault::wrong_key) == 1);
}

TEST_CASE("oversized and truncated frames are counted, and decoding stops after an oversized one") {
    const auto signer = make_signer(new_and_old_key);
    connection link(signer, signer);
    link.decoder.consume(wire::bytes{0xff, 0xff, 0xff, 0x7f, 1});
    CHECK(link.decoder.has_lost_boundary());
    CHECK(link.faults_of(wire::frame_fault::oversized) == 1);
    connection closed_early(signer, signer);
    auto frame = closed_early.encode({1, 2, 3});
    frame.pop_back();
    CHECK(closed_early.decoder.consume(frame) == 0);
    closed_early.decoder.on_connection_closed(frame.size());
    CHECK(closed_early.faults_of(wire::frame_fault::truncated) == 1);
}

TEST_CASE("malformed fleet keys are rejected") {
    const auto parse = [](std::vector<std::string> hex) { return wire::parse_fleet_keys(hex); };
    CHECK_FALSE(parse({}));
    CHECK_FALSE(parse({"0011"}));
    CHECK_FALSE(parse({"zz0102030405060708090a0b0c0d0e0f"}));
    CHECK_FALSE(parse({new_and_old_key[0], new_and_old_key[1], new_and_old_key[0]}));
}

// Every mutation must change at least one byte; an unchanged frame would rightly be accepted.
TEST_CASE("none of 100,000 mutated frames is accepted") {
    constexpr int rounds = 100'000;
    kernel::random_source random(20260);
    const auto signer = make_signer(new_and_old_key);
    int accepted = 0;
    int fault_count = 0;
    int empty_frames = 0;
    for (int round = 0; round < rounds; ++round) {
        connection link(signer, signer);
        wire::bytes payload(random.below(64));
        for (auto& byte : payload)
            byte = static_cast<std::uint8_t>(random.next());
        const auto original = link.encode(payload);
        auto mutated = original;
        const auto changes = 1 + random.below(4);
        for (std::uint64_t i = 0; i < changes; ++i)
            mutated[random.below(mutated.size())] ^= static_cast<std::uint8_t>(random.next());
        if (random.below(4) == 0)
            mutated.resize(random.below(mutated.size()));
        if (mutated == original)
            mutated.back() ^= 1;
        const auto consumed = link.decoder.consume(mutated);
        link.decoder.on_connection_closed(mutated.size() - consumed);
        accepted += static_cast<int>(link.payloads.size());
        for (const auto faults : link.faults)
            fault_count += faults;
        empty_frames += mutated.empty() ? 1 : 0;
    }
    CHECK(accepted == 0);
    CHECK(fault_count >= rounds - empty_frames);
}
