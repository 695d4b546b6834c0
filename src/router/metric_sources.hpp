// Registers the counters of a router's services as metrics. The services must outlive the metrics.
#pragma once

#include "admin/admin_server.hpp"
#include "debug/metrics.hpp"
#include "router/membership_service.hpp"
#include "router/request_path.hpp"
#include "router/share_service.hpp"
#include "store/monitored_store.hpp"

namespace samphirespool::router {

struct router_metric_sources {
    const request_path& path;
    const share_service& shares;
    const membership_service& members;
    const store::monitored_store& store;
};

// Registers samphirespool_requests_*, samphirespool_streams_*, samphirespool_answers_crossed_total,
// samphirespool_store_*, samphirespool_members_alive and samphirespool_reservations_*.
void register_router_metrics(debug::metrics& metrics, const router_metric_sources& sources);

// What the servers for callers and operators refuse, close and hold. Only once they listen.
void register_intake_metrics(debug::metrics& metrics, const caller_server& callers,
                             const admin::admin_server& operators);

} // namespace samphirespool::router
