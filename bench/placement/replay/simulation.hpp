// Replays a trace through the production decision code: request state machine, retry budget, fair
// queue, placement strategy and target ledger. Only engines, time and the messages between routers
// are simulated.
#pragma once

#include "admission/fair_queue.hpp"
#include "bench/placement/replay/figures.hpp"
#include "bench/placement/replay/simulated_fleet.hpp"
#include "request/request_state.hpp"

#include <array>
#include <memory>
#include <queue>
#include <span>
#include <unordered_map>

namespace samphirespool::replay {

struct simulation_options {
    strategy_factory create_strategy;
    double load_multiple = 1.25;
    std::size_t max_candidates = 8;
    // When none of the first candidates has capacity, the reservation is tried again with all
    // targets.
    bool retry_with_all_targets = true;
    // Whether reservations carry the chat key, so that owners remember which targets ran it.
    bool use_key_hints = false;
    // Whether requests of an organisation with a backlog leave some slots to other organisations.
    bool limit_backlog_slots = false;
    // Limit of the reservations that a router has waiting at one owner.
    std::size_t max_waiting_per_router = 1;
};

class simulation {
public:
    simulation(const trace& replayed_trace, std::span<const arrival> arrivals,
               simulation_options options);

    replay_counts run();

private:
    enum class event_kind : std::uint8_t { finish, views, report, second, traced };

    struct event {
        double at = 0;
        std::uint64_t order = 0;
        event_kind kind = event_kind::finish;
        // By kind: the number of a request, view class, target or traced event.
        std::uint64_t subject = 0;
        // Of a finish event: the attempt of the request.
        std::uint32_t attempt = 0;
        std::shared_ptr<const simulated_fleet::fleet_state> fleet_state;
        admission::load_report load;

        bool operator>(const event& other) const {
            return this->at != other.at ? this->at > other.at : this->order > other.order;
        }
    };

    // A request that has arrived and has no outcome yet.
    struct live_request {
        const arrival* trace_request = nullptr;
        request::request_state state;
        bool from_backlog = false;
        target_place target;
        std::uint32_t attempts = 0;
        double sent_at = 0;
        service_time time;
        bool sent = false;
    };

    // A reservation that waits at its owner until a candidate has capacity.
    struct waiter {
        std::uint64_t request = 0;
        std::vector<helpers::target_id> candidates;
    };

    using routed_queues = std::vector<admission::fair_queue>;

    void arrive(const arrival& next);
    // Takes requests from a router's queue while its waiting reservations are below the limit.
    void dispatch_queue(std::uint32_t router, std::uint32_t service);
    void reserve(std::uint64_t number);
    std::optional<helpers::target_id> try_candidates(live_request& pending, std::size_t wanted,
                                                     std::vector<helpers::target_id>& candidates);
    admission::reservation_hints hints_of(const live_request& pending) const;
    void send(std::uint64_t number, helpers::target_id target);
    void record_admission(const live_request& sent, helpers::target_id target);
    void finish_attempt(std::uint64_t number, std::uint32_t attempt);
    void finish_request(std::uint64_t number, const request::decision& made);
    // Fails the attempts that run on a lost engine and reserves again for those that may retry.
    void fail_engine(target_place place);
    // Tries waiting reservations again, and ends those past their deadline.
    void retry_waiters(std::uint32_t service, std::uint32_t region);
    void apply(const traced_event& trace_event);
    // Sends the current fleet state to all views and owners, each after its lag.
    void schedule_view_updates();
    void on_each_second();
    void send_reports();
    void expire_queues();
    void sample_skew(std::uint32_t service, std::uint32_t region);
    void schedule(double at, event scheduled);
    void handle(const event& due);
    std::uint32_t region_of(const arrival& trace_request) const {
        return trace_request.router % this->replayed_trace.regions;
    }
    admission::target_ledger& ledger_of(const live_request& one);

    const trace& replayed_trace;
    std::span<const arrival> arrivals;
    simulation_options options;
    simulated_fleet fleet;
    kernel::random_source random;
    double now = 0;
    std::uint64_t event_order = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> events;
    std::uint64_t last_request = 0;
    std::unordered_map<std::uint64_t, live_request> live_requests;
    std::vector<request::retry_budget> budgets;
    // By router, then service.
    std::vector<routed_queues> queues;
    std::vector<std::vector<std::size_t>> reservations_waiting;
    // By service, then region.
    std::vector<std::vector<std::vector<waiter>>> waiters;
    std::vector<double> drained_at;
    double last_churn = -1e9;
    bool reports_stopped = false;
    replay_counts counts;
    std::vector<std::size_t> ranked;
};

} // namespace samphirespool::replay
