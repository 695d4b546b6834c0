// Replays a trace through the decisions: request state machine, retry budget, fair queue, placement
// strategy, target ledger. Only engines, time and the messages between routers are made up.
#pragma once

#include "admission/fair_queue.hpp"
#include "bench/placement/replay/figures.hpp"
#include "bench/placement/replay/world.hpp"
#include "request/request_state.hpp"

#include <array>
#include <memory>
#include <queue>
#include <span>
#include <unordered_map>

namespace samphirespool::replay {

struct simulation_options {
    strategy_maker make;
    double load_multiple = 1.25;
    std::size_t max_candidates = 8;
    // When none of the first candidates has room, the owner is asked again with all targets.
    bool ask_all = true;
    // Whether owners remember where keys ran.
    bool remember_keys = false;
    // Whether requests of a backlog leave some slots to other organisations.
    bool keep_slots = false;
    // Reservations that a router may have waiting at one owner.
    std::size_t waiting_per_router = 1;
};

class simulation {
public:
    simulation(const trace& from, std::span<const arrival> arrivals, simulation_options options);

    tallies run();

private:
    enum class event_kind : std::uint8_t { finish, views, report, second, traced };

    struct event {
        double at = 0;
        std::uint64_t order = 0;
        event_kind kind = event_kind::finish;
        // Request, view class, target or traced event.
        std::uint64_t subject = 0;
        // Attempt of the request.
        std::uint32_t attempt = 0;
        std::shared_ptr<const world::truth> truth;
        admission::load_report load;

        bool operator>(const event& other) const {
            return this->at != other.at ? this->at > other.at : this->order > other.order;
        }
    };

    struct live_request {
        const arrival* what = nullptr;
        request::request_state state;
        bool from_backlog = false;
        target_place target;
        std::uint32_t attempts = 0;
        double sent_at = 0;
        service_time time;
        bool sent = false;
    };

    struct waiter {
        std::uint64_t request = 0;
        std::vector<helpers::target_id> candidates;
    };

    using routed_queues = std::vector<admission::fair_queue>;

    void arrive(const arrival& next);
    void pump(std::uint32_t router, std::uint32_t service);
    void reserve(std::uint64_t number);
    std::optional<helpers::target_id> try_candidates(live_request& asking, std::size_t wanted,
                                                     std::vector<helpers::target_id>& candidates);
    admission::reservation_hints hints_of(const live_request& asking) const;
    void send(std::uint64_t number, helpers::target_id target);
    void note_admission(const live_request& sent, helpers::target_id target);
    void finish_attempt(std::uint64_t number, std::uint32_t attempt);
    void end(std::uint64_t number, const request::decision& made);
    void fail_engine(target_place place);
    void serve_waiters(std::uint32_t service, std::uint32_t region);
    void apply(const traced_event& happened);
    void announce();
    void each_second();
    void send_reports();
    void expire_queues();
    void sample_skew(std::uint32_t service, std::uint32_t region);
    void schedule(double at, event scheduled);
    void handle(const event& due);
    std::uint32_t region_of(const arrival& what) const { return what.router % this->from.regions; }
    admission::target_ledger& ledger_of(const live_request& one);

    const trace& from;
    std::span<const arrival> arrivals;
    simulation_options options;
    world fleet;
    kernel::random_source random;
    double now = 0;
    std::uint64_t event_order = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> events;
    std::uint64_t last_request = 0;
    std::unordered_map<std::uint64_t, live_request> live;
    std::vector<request::retry_budget> budgets;
    // By router, then service.
    std::vector<routed_queues> queues;
    std::vector<std::vector<std::size_t>> reservations_waiting;
    // By service, then region.
    std::vector<std::vector<std::vector<waiter>>> waiters;
    std::vector<double> left_at;
    double last_churn = -1e9;
    bool reports_stopped = false;
    tallies counted;
    std::vector<std::size_t> ranked;
};

} // namespace samphirespool::replay
