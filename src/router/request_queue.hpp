// Queue of accepted requests: a fair queue per service, the limits of organisations, and a bound on
// how many requests wait for a reservation at a time, so that this queue decides their order and
// not the queue of the share owner.
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

// Sends the need for capacity beyond this router's free share to the owner of each organisation's
// limit. The reply is applied through request_queue::limits().
class usage_report_sender {
public:
    virtual ~usage_report_sender() = default;
    virtual void send(const admission::usage_report& report) = 0;
};

class request_queue {
public:
    // Runs once: without an error when the request may start, with one when it is rejected.
    using start_handler = std::function<void(std::optional<kernel::error>)>;

    request_queue(kernel::loop& loop, fleet_view& fleet, helpers::router_id self,
                  admission::queue_limits bounds);
    ~request_queue();
    request_queue(const request_queue&) = delete;
    request_queue& operator=(const request_queue&) = delete;

    // Queues the request. `on_start` may run before this returns.
    void submit(const admission::queued_request& request, helpers::service_id service,
                start_handler on_start);

    // A target was reserved for a request that has started.
    void on_target_assigned(const helpers::request_id& request);

    // Removes a request in any stage: cancelled while waiting, or finished. Its handler does not
    // run afterwards.
    void remove(const helpers::request_id& request);

    // Null: no reports are sent, and this router is limited to its free shares.
    void set_report_sender(usage_report_sender* sender) { this->report_sender = sender; }
    admission::organisation_limits& limits() { return this->organisation_shares; }
    // Requests of all services that have not started.
    std::size_t waiting() const;
    // Whether requests of the organisation wait in the queue of the service.
    bool has_backlog(helpers::service_id service, helpers::organisation_id organisation) const;

    // Most requests of one service that wait for a reservation at a time.
    static constexpr std::size_t max_reserving = 64;

private:
    enum class stage : std::uint8_t {
        // In the fair queue.
        waiting,
        // Started; waits for a target to be reserved.
        reserving,
        // Has a target.
        running,
    };

    struct entry {
        helpers::service_id service;
        helpers::organisation_id organisation;
        stage current_stage = stage::waiting;
        // Moved out before it runs.
        start_handler handler;
    };

    struct service_queue {
        explicit service_queue(admission::queue_limits bounds) : waiting(bounds) {}
        admission::fair_queue waiting;
        // Invariant: the number of entries in the stage reserving.
        std::size_t reserving = 0;
    };

    void apply_configuration();
    void start_waiting(service_queue& queue);
    void reject(const helpers::request_id& request, kernel::error_kind kind);
    void tick();
    service_queue& queue_of(helpers::service_id service);

    kernel::loop& loop;
    fleet_view& fleet;
    admission::queue_limits bounds;
    admission::organisation_limits organisation_shares;
    usage_report_sender* report_sender = nullptr;
    std::unordered_map<helpers::service_id, service_queue> queues;
    std::unordered_map<helpers::request_id, entry> entries;
    // Organisations with a limit in the applied configuration, sorted.
    std::vector<helpers::organisation_id> limited;
    // The configuration version that weights and limits come from.
    std::shared_ptr<const configuration_index> applied;
    kernel::timer_id timer = 0;
};

} // namespace samphirespool::router
