// Frames on a connection between two routers. The accepting side opens with a challenge; the
// connecting side sends signed frames whose tag covers the challenge and the receiver's address, so
// that a frame recorded on another connection, or meant for another router, is refused.
//
// Frame, little endian: u32 length of the rest, u8 version, u8 kind, u32 session, u32 sequence,
// i64 wall time in ms, u32 logical time, 16 bytes tag, payload.
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
// Keys that are valid at the same time while the fleet's key is replaced.
constexpr std::size_t max_fleet_keys = 2;

using challenge = std::array<std::uint8_t, challenge_bytes>;
using frame_tag = std::array<std::uint8_t, tag_bytes>;

// The first frame of a connection announces the sender; never handed to receivers.
constexpr auto hello_kind = static_cast<frame_kind>(0);

enum class frame_fault : std::uint8_t {
    garbage,
    truncated,
    oversized,
    replayed,
    wrong_key,
    count,
};

constexpr auto frame_fault_count = static_cast<std::size_t>(frame_fault::count);

// Decodes keys in hex. Returns nothing if there is none, too many, or a malformed one.
std::optional<std::vector<bytes>> parse_fleet_keys(std::span<const std::string> hex_keys);

// Keyed tags over frames. Signs with the first key and accepts any.
class frame_signer {
public:
    explicit frame_signer(std::span<const bytes> keys);
    ~frame_signer();
    frame_signer(const frame_signer&) = delete;
    frame_signer& operator=(const frame_signer&) = delete;

    frame_tag sign(std::span<const std::span<const std::uint8_t>> parts) const;
    bool accepts(std::span<const std::span<const std::uint8_t>> parts, const frame_tag& tag) const;

private:
    frame_tag tag_of(std::size_t key, std::span<const std::span<const std::uint8_t>> parts) const;

    // One context per key, newest first.
    std::vector<evp_mac_ctx_st*> contexts;
};

// Writes the frames of one connection.
class frame_encoder {
public:
    frame_encoder(const frame_signer& signer, const challenge& opened_with,
                  const helpers::endpoint& receiver);

    void append(bytes& output, frame_kind kind, kernel::hybrid_time time,
                std::span<const std::uint8_t> payload);

private:
    const frame_signer& signer;
    challenge opened_with;
    std::string receiver;
    std::uint32_t sequence = 0;
};

struct received_frame {
    frame_kind kind = hello_kind;
    kernel::hybrid_time time;
    std::span<const std::uint8_t> payload;
};

// Reads the frames of one connection. Invariant: a frame is handed on only if its tag is right and
// its sequence is above that of every frame before it.
class frame_decoder {
public:
    using sink = std::function<void(const received_frame&)>;
    using fault_sink = std::function<void(frame_fault)>;

    frame_decoder(const frame_signer& signer, const challenge& opened_with,
                  const helpers::endpoint& self, sink on_frame, fault_sink on_fault);

    // Takes what it can from the front of the input and returns how much that was. After a fault
    // that loses the frame boundary broken() is true and nothing more is read.
    std::size_t consume(std::span<const std::uint8_t> input);
    // The connection ended with this many bytes unread.
    void end(std::size_t unread);
    bool broken() const { return this->lost_boundary; }

private:
    void take_frame(std::span<const std::uint8_t> frame);

    const frame_signer& signer;
    challenge opened_with;
    std::string self;
    sink on_frame;
    fault_sink on_fault;
    std::uint32_t last_sequence = 0;
    bool lost_boundary = false;
};

} // namespace samphirespool::wire
