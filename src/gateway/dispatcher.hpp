// Decides which target gets which request and when: the load and soundness of each target, the
// shared allowances, and the queue of requests for which no target is free.
#pragma once

#include "admission/fair_start_tags.hpp"
#include "admission/fleet_share.hpp"
#include "admission/sliding_counts.hpp"
#include "admission/target_load.hpp"
#include "discovery/target_catalog.hpp"
#include "exchange/message.hpp"
#include "kernel/error.hpp"
#include "kernel/event.hpp"
#include "kernel/loop.hpp"
#include "placement/target_choice.hpp"
#include "routing/route_table.hpp"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace samphirespool::gateway {

// Where a request goes. Every assignment is reported as ended once.
struct assignment {
    std::shared_ptr<const discovery::known_target> target;
    std::uint64_t prompt_tokens = 0;
    bool prompt_pending = true;
    // A target from which this one may fetch the shared parts of the prompt.
    std::optional<helpers::endpoint> holder;
};

enum class result : std::uint8_t {
    succeeded,
    failed,
    // Says nothing about the target, for instance as the caller departed.
    neutral,
};

struct dispatch_ticket {
    helpers::service_id service;
    const placement::prompt* prompt = nullptr;
    std::uint32_t priority = 0;
    helpers::organisation_id organisation;
    // Assigned later than this, the answer will miss its objective.
    helpers::time_point in_time_until{};
    // No longer of use after this.
    helpers::time_point wait_until{};
    // Set by the dispatcher.
    helpers::time_point asked_at{};
    // Targets that were tried before.
    std::vector<std::uint64_t> tried;
    std::function<void(assignment)> assigned;
    std::function<void(kernel::error)> refused;
};

struct dispatch_settings {
    std::string self;
    std::string data_centre;
    std::string engine_choice = "shared_part";
    std::string plain_choice = "least_loaded";
    std::size_t max_waiting = 2000;
    admission::fleet_retry_limits repeats;
    admission::cold_limits cold;
};

class dispatcher {
public:
    dispatcher(kernel::loop& loop, kernel::random_source& random, kernel::event_sink& events,
               discovery::target_catalog& catalog, const dispatch_settings& settings);
    ~dispatcher();
    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;

    void set_table(std::shared_ptr<const routing::route_table> newest) {
        this->table = std::move(newest);
    }
    void set_members(std::vector<std::string> names);

    using ticket_id = std::uint64_t;

    // One of the ticket's tasks runs, perhaps before this returns; then 0 is returned.
    ticket_id ask(dispatch_ticket wanted);
    void withdraw(ticket_id id);

    void on_load(const assignment& at, const admission::occupancy_report& report);
    void on_prompt_done(assignment& at);
    void on_suspicion(const assignment& at);
    void on_ended(assignment& at, result how);
    // The service itself answered a request with an error that is not the request's own. Says
    // little of the target until everyone's results are seen.
    void on_error_answer(const discovery::known_target& target);

    // This gateway's requests on each target and what became of earlier ones.
    exchange::target_counts own_counts() const;
    // Requests of the others, and everyone's results.
    void set_others(const exchange::target_counts& others, std::uint32_t max_unlisted_in_flight,
                    helpers::duration interval);

    admission::fleet_retry_budget& repeats() { return this->budget; }

    // Gives waiting requests another chance; called when targets have changed.
    void serve_waiting();
    std::size_t waiting() const { return this->queue.size(); }
    // Times that the fleet's results made a target suspected.
    const std::uint64_t& suspicions() const { return this->suspicion_count; }

private:
    static constexpr helpers::duration rate_window = std::chrono::seconds(1);

    struct service_state {
        std::unique_ptr<placement::target_choice> choice;
        // Requests of other gateways on a target, as reports have shown lately.
        double usual = 0;
        // Requests that got a target here.
        admission::sliding_counts<std::uint32_t, 4> assigned{rate_window};
    };

    enum class verdict : std::uint8_t {
        assigned,
        wait,
        none_exists,
    };

    struct queue_key {
        std::uint32_t priority = 0;
        // It misses its objective in any case: those of the same priority that need not go first,
        // so that an overload does not make all answers late.
        bool is_late = false;
        // Virtual start; see admission::fair_start_tags.
        std::uint64_t start = 0;
        ticket_id id = 0;

        friend auto operator<=>(const queue_key&, const queue_key&) = default;
    };

    verdict try_assign(dispatch_ticket& wanted);
    service_state& state_of(helpers::service_id service);
    std::optional<placement::choice> choose(const dispatch_ticket& wanted);
    std::vector<placement::choice_target> candidates(const dispatch_ticket& wanted,
                                                     bool with_suspected);
    std::optional<helpers::endpoint> address_of(helpers::service_id service,
                                                std::uint64_t serial) const;
    placement::choice_context pace() const;
    bool may_take(const discovery::known_target& target, const dispatch_ticket& wanted,
                  bool with_suspected, helpers::time_point now);
    placement::choice_target view_of(const discovery::known_target& target, double usual,
                                     helpers::time_point now);
    admission::target_load& load_of(const discovery::known_target& target);
    void note_failure(const discovery::known_target& target);
    void note_success(const discovery::known_target& target);
    using counts_by_life = std::unordered_map<std::uint32_t, exchange::target_count>;
    void suspect_outliers(helpers::service_id service, const counts_by_life& counts);
    void tick();
    void forget_old_loads();
    // Too many go before it for the rate at which requests get targets.
    bool is_hopeless(const dispatch_ticket& wanted, const queue_key& place);
    void put_late_ones_last(helpers::time_point now);

    kernel::loop& loop;
    kernel::random_source& random;
    kernel::event_sink& events;
    discovery::target_catalog& catalog;
    dispatch_settings settings;
    admission::fleet_retry_budget budget;
    admission::cold_target_share cold;
    std::shared_ptr<const routing::route_table> table;
    std::unordered_map<helpers::service_id, service_state> services;
    std::unordered_map<std::uint64_t, admission::target_load> loads;
    // Most urgent first, then what is not late, then in turns of the organisations.
    std::map<queue_key, dispatch_ticket> queue;
    admission::fair_start_tags turns;
    // How far apart the sums of the exchange are.
    helpers::duration exchange_interval{};
    // Gateways, this one included.
    std::size_t members = 1;
    ticket_id last_ticket = 0;
    std::uint64_t suspicion_count = 0;
    kernel::timer_id timer = 0;
    bool serving = false;
};

} // namespace samphirespool::gateway
