// Puts the counters of a router's parts on its metrics page. The parts must outlive the metrics.
#pragma once

#include "debug/metrics.hpp"
#include "router/membership_service.hpp"
#include "router/request_path.hpp"
#include "router/share_service.hpp"
#include "store/monitored_store.hpp"

namespace samphirespool::router {

struct watched_parts {
    const request_path& path;
    const share_service& shares;
    const membership_service& members;
    const store::monitored_store& store;
};

// samphirespool_requests_*, samphirespool_store_calls_total, samphirespool_members_alive and
// samphirespool_reservations_*.
void watch_router(debug::metrics& metrics, const watched_parts& parts);

} // namespace samphirespool::router
