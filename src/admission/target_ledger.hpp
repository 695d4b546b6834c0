// What the router that owns a shard knows of the shard's targets: outstanding load, the bound on
// it, and what a cold target may bear. Pure: every call gets the time. The targets of a ledger are
// those of one service.
//
// Bound: a target takes a request of cost k only while its load is below
//     multiple x (load of all warm targets + k) / warm targets,
// so that it exceeds the multiple of the mean by less than one request; an idle target always takes
// one. Since the least loaded target never exceeds the mean, the bound alone never stalls a
// service: some target admits as long as one has a free slot.
//
// Cold targets: a target is cold when it is new, when its incarnation grows, after consecutive
// failures, or when its first bytes turn slow. It then bears its cold allowance of requests, for
// the whole fleet. The allowance doubles after a window of successes, halves on a failure or a
// slow first byte, and the target is warm once it reaches the warm capacity.
#pragma once

#include "admission/first_byte_baseline.hpp"
#include "admission/key_memory.hpp"
#include "admission/reservation.hpp"
#include "helpers/ids.hpp"
#include "helpers/time.hpp"

#include <cstdint>
#include <limits>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace samphirespool::admission {

struct ledger_target {
    helpers::target_id id;
    std::uint64_t incarnation = 0;
    std::uint32_t warm_capacity = 64;
    std::uint32_t cold_allowance = 2;
    bool eligible = true;
};

// What a target says of itself; `age` is how long ago it was true.
struct load_report {
    std::uint64_t incarnation = 0;
    std::uint32_t in_flight = 0;
    std::uint64_t outstanding_tokens = 0;
    helpers::duration age{};
};

// Load of the service's warm targets that other ledgers keep, so that the mean is the service's.
struct peer_load {
    std::uint64_t tokens = 0;
    std::uint32_t warm_targets = 0;
};

class target_ledger {
public:
    static constexpr std::uint32_t unlimited_slots = std::numeric_limits<std::uint32_t>::max();

    explicit target_ledger(double load_multiple = 1.25) : load_multiple(load_multiple) {}

    // Replaces the list of targets. A target that is gone keeps its outstanding work until it has
    // ended but takes no more. An incarnation below the known one is a lagging list and ignored.
    void set_targets(std::span<const ledger_target> listed, helpers::time_point now);

    // Slots that this owner was lent for the target. Unlimited until set.
    void set_slot_limit(helpers::target_id target, std::uint32_t slots);

    void set_load_multiple(double multiple) { this->load_multiple = multiple; }
    void set_peer_load(peer_load load) { this->outside = load; }

    // Reserves one slot and the cost on the first candidate that has room, preferring those where
    // the conversation ran lately, then those where others with the same key did. Without hints the
    // order alone counts. Nothing: none has room now; one may after the next finish(), report or
    // change of the list.
    std::optional<helpers::target_id> try_reserve(std::span<const helpers::target_id> candidates,
                                                  std::uint32_t cost_tokens,
                                                  helpers::time_point now,
                                                  const reservation_hints& hints = {});

    // Counts work that runs already, as a follower registers it again. Never refused.
    void add_existing(helpers::target_id target, std::uint32_t cost_tokens,
                      helpers::time_point now);

    // Ends one reservation or existing work of the same cost. Unknown targets are ignored.
    void finish(helpers::target_id target, std::uint32_t cost_tokens, release::result how,
                helpers::duration first_byte, helpers::time_point now);

    // The ledger's own count leads. A report adds what the ledger cannot account for by any count
    // it held since the report was true; it never lowers the own count. Reports that are stale or
    // of an earlier incarnation are ignored; a later incarnation makes the target cold.
    void report(helpers::target_id target, const load_report& reported, helpers::time_point now);

    // A new owner takes over what an earlier owner had granted the same life of a target, as its
    // followers remember it from allowance(). Never lowers the allowance.
    void restore_allowance(helpers::target_id target, std::uint64_t incarnation,
                           std::uint32_t slots, helpers::time_point now);

    // Requests that the target bears at a time, lent slots aside; the warm capacity when warm.
    std::uint32_t allowance(helpers::target_id target) const;

    // Requests that this owner may have on the target at a time: allowance and lent slots.
    std::uint32_t capacity(helpers::target_id target, helpers::time_point now) const;

    // Requests on the target, with those that only reports know.
    std::uint32_t in_flight(helpers::target_id target) const;
    std::uint64_t outstanding_tokens(helpers::target_id target) const;
    bool warm(helpers::target_id target) const;
    bool contains(helpers::target_id target) const { return this->entries.contains(target); }

    // Mean load of the warm targets in tokens; of all eligible ones while none is warm.
    double mean_load() const;

    // Own load of the warm targets, for other ledgers' set_outside_load().
    peer_load own_load() const;

    static constexpr helpers::duration report_max_age = std::chrono::seconds(5);
    static constexpr helpers::duration report_validity = std::chrono::seconds(10);
    static constexpr helpers::duration ramp_interval = std::chrono::seconds(1);
    static constexpr std::uint32_t ramp_successes = 4;
    static constexpr std::uint32_t failures_until_cold = 3;
    // Slots kept for organisations without a backlog: one of so many.
    static constexpr std::uint32_t kept_slots_divisor = 8;

private:
    // Highest count within the last two windows of report_max_age.
    struct recent_peak {
        std::uint64_t current = 0;
        std::uint64_t previous = 0;
    };

    struct entry {
        ledger_target target;
        // Invariant: the sum over the work reserved or registered and not finished.
        std::uint32_t own_requests = 0;
        std::uint64_t own_tokens = 0;
        // What only reports know; dropped at foreign_until.
        std::uint32_t foreign_requests = 0;
        std::uint64_t foreign_tokens = 0;
        helpers::time_point foreign_until;
        recent_peak peak_requests;
        recent_peak peak_tokens;
        helpers::time_point peak_window_start;
        std::uint32_t slot_limit = unlimited_slots;
        // Invariant: at least 1; the warm capacity when warm.
        std::uint32_t allowance = 1;
        bool warm = false;
        bool listed = false;
        // Whether start() ran, which is when the target was listed first.
        bool started = false;
        std::uint32_t successes = 0;
        std::uint32_t failures = 0;
        helpers::time_point allowance_changed;
        first_byte_baseline first_bytes;

        std::uint32_t requests() const { return this->own_requests + this->foreign_requests; }
        std::uint64_t tokens() const { return this->own_tokens + this->foreign_tokens; }
        bool open() const { return this->listed && this->target.eligible; }
    };

    // Sums over the open entries. Invariant: kept by changing(), which takes an entry out of the
    // sums and puts its new values back; what runs within it sees the sums of the peers.
    struct sums {
        std::uint64_t warm_tokens = 0;
        std::uint32_t warm_targets = 0;
        std::uint64_t cold_tokens = 0;
        std::uint32_t cold_targets = 0;
        // Recent first bytes of the warm targets with a known baseline.
        double first_bytes = 0;
        std::uint32_t first_byte_targets = 0;
    };

    template <class Change>
    void changing(entry& changed, Change change) {
        this->count(changed, -1);
        change(changed);
        this->count(changed, 1);
    }

    void count(const entry& counted, std::int64_t sign);
    std::optional<helpers::target_id> choose(std::span<const helpers::target_id> candidates,
                                             std::uint32_t cost_tokens,
                                             const reservation_hints& hints) const;
    int cached_rank(const entry& candidate, const reservation_hints& hints) const;
    const entry* find(helpers::target_id target) const;
    entry* find(helpers::target_id target);
    bool admits(const entry& candidate, std::uint32_t cost_tokens, bool from_backlog) const;
    double bound(std::uint32_t cost_tokens) const;
    void start(entry& started, helpers::time_point now);
    void make_cold(entry& cooled, helpers::time_point now);
    void fit_allowance(entry& fitted);
    void halve(entry& failed, helpers::time_point now);
    void learn_success(entry& succeeded, helpers::time_point now);
    void learn_failure(entry& failed, helpers::time_point now);
    void learn_first_byte(entry& answered, std::uint32_t cost_tokens, helpers::duration first_byte,
                          helpers::time_point now);
    double peers_first_byte() const;
    void note_peak(entry& noted, helpers::time_point now);
    void drop_old_reports(helpers::time_point now);

    double load_multiple;
    peer_load outside;
    sums totals;
    helpers::time_point next_report_sweep;
    std::unordered_map<helpers::target_id, entry> entries;
    key_memory memory;
};

} // namespace samphirespool::admission
