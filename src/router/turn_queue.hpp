// Where accepted requests wait for their turn: a fair queue per service, the limits of
// organisations, and a bound on how many wait for a reservation at a time, so that the order is
// decided here and not in the owner's queue.
#pragma once

#include "admission/fair_queue.hpp"
#include "admission/organisation_limits.hpp"
#include "kernel/loop.hpp"
#include "router/fleet_view.hpp"

#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace samphirespool::router {

// Takes what this router needs of limits beyond its free share to the owner of each limit. The
// answer comes back through turn_queue::limits().
class limit_reports {
public:
    virtual ~limit_reports() = default;
    virtual void send(const admission::usage_report& report) = 0;
};

class turn_queue {
public:
    // Runs once: without an error when the turn has come, with the reason when it will not.
    using turn_task = std::function<void(std::optional<kernel::error>)>;

    turn_queue(kernel::loop& loop, fleet_view& fleet, helpers::router_id self,
               admission::queue_limits bounds);
    ~turn_queue();
    turn_queue(const turn_queue&) = delete;
    turn_queue& operator=(const turn_queue&) = delete;

    void enter(const admission::queued_request& request, helpers::service_id service,
               turn_task turn);

    // The request whose turn had come has a target.
    void placed(const helpers::request_id& request);

    // The request has ended, wherever it was. Its task does not run afterwards.
    void leave(const helpers::request_id& request);

    // Null: reports are not sent, and the free shares are all there is.
    void set_reports(limit_reports* receiver) { this->reports = receiver; }
    admission::organisation_limits& limits() { return this->shares; }
    std::size_t waiting() const;
    // Whether requests of the organisation wait for their turn at the service.
    bool has_backlog(helpers::service_id service, helpers::organisation_id organisation) const;

    // Requests of one service that wait for a reservation at a time.
    static constexpr std::size_t max_placing = 64;

private:
    enum class stage : std::uint8_t {
        waiting,
        placing,
        running,
    };

    struct member {
        helpers::service_id service;
        helpers::organisation_id organisation;
        stage at = stage::waiting;
        turn_task turn;
    };

    struct service_queue {
        explicit service_queue(admission::queue_limits bounds) : waiting(bounds) {}
        admission::fair_queue waiting;
        // Invariant: the number of members with stage placing.
        std::size_t placing = 0;
    };

    void refresh();
    void give_turns(service_queue& queue);
    void refuse(const helpers::request_id& request, kernel::error_kind kind);
    void tick();
    service_queue& queue_of(helpers::service_id service);

    kernel::loop& loop;
    fleet_view& fleet;
    admission::queue_limits bounds;
    admission::organisation_limits shares;
    limit_reports* reports = nullptr;
    std::unordered_map<helpers::service_id, service_queue> queues;
    std::unordered_map<helpers::request_id, member> members;
    // Organisations with a limit in the version in force.
    std::vector<helpers::organisation_id> limited;
    std::shared_ptr<const configuration_index> applied;
    kernel::timer_id timer = 0;
};

} // namespace samphirespool::router
