// Reservations for one router that has the targets to itself: a ledger per service in this
// process, and a queue of those who wait for room.
#pragma once

#include "admission/reservation.hpp"
#include "admission/target_ledger.hpp"
#include "kernel/loop.hpp"
#include "router/fleet_view.hpp"

#include <list>
#include <optional>
#include <unordered_map>

namespace samphirespool::router {

class local_reservation final : public admission::reservation_service {
public:
    local_reservation(kernel::loop& loop, fleet_view& fleet, std::size_t max_waiting);
    ~local_reservation() override;
    local_reservation(const local_reservation&) = delete;
    local_reservation& operator=(const local_reservation&) = delete;

    void reserve(admission::reservation_request request,
                 std::function<void(admission::reservation_reply)> done) override;
    void cancel(const helpers::request_id& request) override;
    void finish(const admission::release& ended) override;

private:
    struct waiting {
        admission::reservation_request request;
        std::function<void(admission::reservation_reply)> done;
        kernel::timer_id timer = 0;
    };

    struct service_state {
        admission::target_ledger ledger;
        // In order of arrival.
        std::list<waiting> queue;
    };

    struct held_grant {
        helpers::service_id service;
        helpers::target_id target;
        std::uint32_t cost_tokens = 0;
    };

    void refresh();
    std::optional<admission::reservation_reply>
    try_grant(const admission::reservation_request& request);
    void serve_queue(helpers::service_id service);
    void expire(helpers::service_id service, const helpers::request_id& request);

    kernel::loop& loop;
    fleet_view& fleet;
    std::size_t max_waiting;
    std::unordered_map<helpers::service_id, service_state> services;
    std::unordered_map<admission::grant_id, held_grant> grants;
    // Invariant: the sum of the lengths of the queues.
    std::size_t waiting_count = 0;
    admission::grant_id last_grant = 0;
};

} // namespace samphirespool::router
