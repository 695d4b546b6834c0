// Reservations of a router without peers, which is the only user of its targets: per service a
// ledger of the targets in this process, and a queue of requests that wait for a free slot.
#pragma once

#include "admission/reservation.hpp"
#include "admission/target_ledger.hpp"
#include "kernel/loop.hpp"
#include "router/fleet_view.hpp"

#include <list>
#include <optional>
#include <unordered_map>

namespace samphirespool::router {

class local_reservations final : public admission::reservation_service {
public:
    local_reservations(kernel::loop& loop, fleet_view& fleet, std::size_t max_waiting);
    ~local_reservations() override;
    local_reservations(const local_reservations&) = delete;
    local_reservations& operator=(const local_reservations&) = delete;

    void reserve(admission::reservation_request request,
                 std::function<void(admission::reservation_reply)> done) override;
    void cancel(const helpers::request_id& request) override;
    void finish(const admission::release& ended) override;

private:
    struct waiting_request {
        admission::reservation_request request;
        std::function<void(admission::reservation_reply)> done;
        kernel::timer_id timer = 0;
    };

    struct service_state {
        admission::target_ledger ledger;
        // In order of arrival.
        std::list<waiting_request> queue;
    };

    struct active_grant {
        helpers::service_id service;
        helpers::target_id target;
        std::uint32_t cost_tokens = 0;
    };

    void update_targets();
    // Nullopt if no candidate has a free slot.
    std::optional<admission::reservation_reply>
    try_grant(const admission::reservation_request& request);
    // Grants what can be granted, in order of arrival.
    void serve_queue(helpers::service_id service);
    // Rejects a request whose deadline has passed.
    void expire(helpers::service_id service, const helpers::request_id& request);

    kernel::loop& loop;
    fleet_view& fleet;
    // Limit on waiting requests over all services.
    std::size_t max_waiting;
    std::unordered_map<helpers::service_id, service_state> services;
    std::unordered_map<admission::grant_id, active_grant> grants;
    // Invariant: the sum of the lengths of the queues.
    std::size_t waiting_count = 0;
    admission::grant_id last_grant = 0;
};

} // namespace samphirespool::router
