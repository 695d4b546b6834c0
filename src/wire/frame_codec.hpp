// Encoding of the signed frames between two routers. The accepting side first sends a random
// challenge. The connecting side then sends frames whose tag covers the challenge and the
// receiver's address, so that a frame recorded on another connection, or meant for another router,
// is rejected.
//
// Layout of a frame, little endian: u32 length of the rest, u8 version, u8 kind, u32 session (first
// bytes of the challenge), u32 sequence, i64 wall time in ms, u32 logical time, 16 bytes tag,
// payload.
#pragma once

#include "helpers/endpoint.hpp"
#include "kernel/hybrid_clock.hpp"
#include "wire/frame.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

struct evp_mac_ctx_st;

namespace samphirespool::wire {

using bytes = std::vector<std::uint8_t>;

constexpr std::size_t challenge_bytes = 16;
constexpr std::size_t tag_bytes = 16;
constexpr std::size_t length_bytes = 4;
constexpr std::size_t header_bytes = length_bytes + 1 + 1 + 4 + 4 + 8 + 4 + tag_bytes;
// Number of keys that are valid at the same time during a key rotation.
constexpr std::size_t max_fleet_keys = 2;

// Random bytes that the accepting side sends at the start of a connection.
using challenge = std::array<std::uint8_t, challenge_bytes>;
// HMAC-SHA256, truncated to its first tag_bytes.
using frame_tag = std::array<std::uint8_t, tag_bytes>;

// Kind of the first frame of a connection, which announces the sender; not passed to receivers.
constexpr auto hello_kind = static_cast<frame_kind>(0);

// Reasons for rejecting received bytes.
enum class frame_fault : std::uint8_t {
    // A wrong length, version, kind or payload.
    garbage,
    // The connection was closed within a frame.
    truncated,
    oversized,
    // A frame of another connection, or one whose sequence was received before.
    replayed,
    // The tag matches no key, challenge or receiver address of this side.
    wrong_key,
    count,
};

constexpr auto frame_fault_count = static_cast<std::size_t>(frame_fault::count);

// Decodes keys in hex. Returns nothing if there are no keys, more than max_fleet_keys, or a
// malformed or too short one.
std::optional<std::vector<bytes>> parse_fleet_keys(std::span<const std::string> hex_keys);

// Computes and verifies the tags of frames. Signs with the first key and accepts tags of any key.
class frame_signer {
public:
    explicit frame_signer(std::span<const bytes> keys);
    ~frame_signer();
    frame_signer(const frame_signer&) = delete;
    frame_signer& operator=(const frame_signer&) = delete;

    // The tag covers the parts as if they were one byte sequence.
    frame_tag sign(std::span<const std::span<const std::uint8_t>> parts) const;
    bool verify(std::span<const std::span<const std::uint8_t>> parts, const frame_tag& tag) const;

private:
    frame_tag compute_tag(std::size_t key,
                          std::span<const std::span<const std::uint8_t>> parts) const;

    // One context per key, newest first.
    std::vector<evp_mac_ctx_st*> contexts;
};

// Encodes and signs the frames of one connection, with ascending sequence numbers.
class frame_encoder {
public:
    frame_encoder(const frame_signer& signer, const challenge& session_challenge,
                  const helpers::endpoint& receiver);

    // Appends one frame to the output.
    void append(bytes& output, frame_kind kind, kernel::hybrid_time time,
                std::span<const std::uint8_t> payload);

private:
    const frame_signer& signer;
    challenge session_challenge;
    std::string receiver;
    std::uint32_t sequence = 0;
};

// A decoded frame; `payload` points into the input of frame_decoder::consume().
struct received_frame {
    frame_kind kind = hello_kind;
    kernel::hybrid_time time;
    std::span<const std::uint8_t> payload;
};

// Decodes the frames of one connection. Invariant: on_frame runs only for a frame whose tag is
// valid and whose sequence is above that of every frame before it.
class frame_decoder {
public:
    using frame_handler = std::function<void(const received_frame&)>;
    using fault_handler = std::function<void(frame_fault)>;

    frame_decoder(const frame_signer& signer, const challenge& session_challenge,
                  const helpers::endpoint& own_address, frame_handler on_frame,
                  fault_handler on_fault);

    // Decodes the complete frames at the front of the input and returns the number of bytes
    // consumed. After a malformed length the next frame cannot be found: has_lost_boundary() is
    // true and nothing more is decoded.
    std::size_t consume(std::span<const std::uint8_t> input);
    // Longer frames are not accepted.
    void limit_frames(std::size_t bytes) { this->max_bytes = bytes; }
    // Counts a truncated frame if the connection was closed with unread bytes.
    void on_connection_closed(std::size_t unread);
    bool has_lost_boundary() const { return this->boundary_lost; }

private:
    void process_frame(std::span<const std::uint8_t> frame);

    const frame_signer& signer;
    challenge session_challenge;
    std::string own_address;
    frame_handler on_frame;
    fault_handler on_fault;
    std::uint32_t last_sequence = 0;
    std::size_t max_bytes = max_frame_bytes;
    bool boundary_lost = false;
};

} // namespace samphirespool::wire
