// State shared by the connections of one transport, and the transport's counters.
#pragma once

#include "helpers/ids.hpp"
#include "http/event_loop.hpp"
#include "kernel/hybrid_clock.hpp"
#include "kernel/random.hpp"
#include "wire/frame_codec.hpp"

#include <array>
#include <cstdint>
#include <functional>

namespace samphirespool::wire {

constexpr std::size_t frame_kind_count = 8;

// Totals of one frame kind in one direction.
struct kind_counters {
    std::uint64_t frames = 0;
    // Including frame headers.
    std::uint64_t bytes = 0;
};

struct transport_counters {
    // Indexed by frame_kind; 0 is hello_kind.
    std::array<kind_counters, frame_kind_count> sent{};
    std::array<kind_counters, frame_kind_count> received{};
    // Indexed by frame_fault.
    std::array<std::uint64_t, frame_fault_count> faults{};
    // Payloads dropped before they were sent: queue full, peer unreachable, or payload too large.
    std::uint64_t dropped = 0;
    std::uint64_t connects = 0;
    std::uint64_t accepts = 0;
    // Accepted connections that were closed for others before their peers were known.
    std::uint64_t replaced = 0;

    std::uint64_t fault(frame_fault kind) const {
        return this->faults[static_cast<std::size_t>(kind)];
    }
};

struct transport_context {
    http::event_loop& loop;
    kernel::hybrid_clock& clock;
    kernel::random_source& random;
    const frame_signer& signer;
    // Peer address of this process, which it announces in the hello frame.
    helpers::endpoint self;
    helpers::incarnation incarnation;
    transport_counters counters;
    // Runs when a connection attempt was refused: nothing listens at the peer's address.
    std::function<void(const helpers::endpoint&)> on_refused;
};

} // namespace samphirespool::wire
