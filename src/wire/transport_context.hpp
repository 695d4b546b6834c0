// What the connections of one transport share, and the transport's counters.
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

struct kind_counters {
    std::uint64_t frames = 0;
    // Headers included.
    std::uint64_t bytes = 0;
};

struct transport_counters {
    // By number of the kind; 0 is the greeting of a connection.
    std::array<kind_counters, frame_kind_count> sent{};
    std::array<kind_counters, frame_kind_count> received{};
    std::array<std::uint64_t, frame_fault_count> faults{};
    // Payloads dropped before they were sent: queue full, peer not reachable, too large.
    std::uint64_t dropped = 0;
    std::uint64_t connects = 0;
    std::uint64_t accepts = 0;

    std::uint64_t fault(frame_fault kind) const {
        return this->faults[static_cast<std::size_t>(kind)];
    }
};

struct transport_context {
    http::event_loop& loop;
    kernel::hybrid_clock& clock;
    kernel::random_source& random;
    const frame_signer& signer;
    // Peer address of this router, as it announces it.
    helpers::endpoint self;
    helpers::incarnation incarnation;
    transport_counters counters;
    // Runs when a peer's VM refused the connection: nothing listens at the address.
    std::function<void(const helpers::endpoint&)> on_refused;
};

} // namespace samphirespool::wire
