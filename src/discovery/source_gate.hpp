// Decides when the feeds of one gateway may call their common source. A failed call says something
// about the path to the source, not about the feed: while the source is unreachable, one feed at a
// time probes it with exponential backoff, and the others wait for the result. Also tells all feeds
// when one of them, or a peer, has seen a new era of the source.
#pragma once

#include "helpers/time.hpp"
#include "kernel/loop.hpp"
#include "kernel/random.hpp"

#include <cstdint>
#include <functional>
#include <list>
#include <utility>
#include <vector>

namespace samphirespool::discovery {

struct backoff_limits {
    // The backoff after failed probes doubles between these bounds.
    helpers::duration initial = std::chrono::milliseconds(100);
    helpers::duration max = std::chrono::milliseconds(800);

    friend bool operator==(const backoff_limits&, const backoff_limits&) = default;
};

class source_gate {
public:
    using turn_id = std::uint64_t;

    // One permitted call. Its holder reports the result with finish(), or withdraws it.
    struct turn {
        turn_id id = 0;
        // Others wait for this call, so it must complete without a long poll.
        bool is_probe = false;
    };
    using turn_handler = std::function<void(const turn&)>;

    source_gate(kernel::loop& loop, kernel::random_source& random);
    ~source_gate();
    source_gate(const source_gate&) = delete;
    source_gate& operator=(const source_gate&) = delete;

    // Calls `proceed` once, when the call may be made; possibly before this returns.
    turn_id request(turn_handler proceed);
    // Gives up a turn, whether it is waiting or its call is in progress.
    void withdraw(turn_id id);
    // Reports the result of the turn's call.
    void finish(turn_id id, bool has_succeeded);

    // The latest era that the source or a peer has stated; 0 if none has.
    std::uint64_t era() const { return this->latest_era; }
    // Calls the handlers of on_new_era() if the era is later than all before.
    void learn_era(std::uint64_t stated);
    void on_new_era(std::function<void()> handler) {
        this->era_handlers.push_back(std::move(handler));
    }

    void set_backoff(const backoff_limits& limits);
    bool is_source_reachable() const { return this->reachable; }

    // Without a successful call for this long, the next call is a probe: several feeds would
    // otherwise discover the same failure at the same time.
    static constexpr helpers::duration confidence_time = std::chrono::seconds(1);

private:
    struct waiting_turn {
        turn_id id;
        turn_handler proceed;
    };

    bool is_trusted() const;
    void start_probe();
    void start_probe_if_allowed();
    void schedule_probe();

    kernel::loop& loop;
    kernel::random_source& random;
    backoff_limits limits;
    helpers::duration backoff;
    std::list<waiting_turn> waiting;
    turn_id last_turn = 0;
    // The turn whose call is the probe in progress, or 0.
    turn_id probe = 0;
    std::uint64_t latest_era = 0;
    std::vector<std::function<void()>> era_handlers;
    bool reachable = true;
    helpers::time_point last_success;
    // Set while a backoff is in progress.
    kernel::timer_id timer = 0;
};

} // namespace samphirespool::discovery
