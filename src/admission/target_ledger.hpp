// Load accounting of the router that owns a shard, for the shard's targets: outstanding load, the
// bound on it, and the allowance of cold targets. Reads no clock: every call is given the time. All
// targets of a ledger belong to one service.
//
// Bound: a target accepts a request of cost k only while its load is below
//     multiple x (load of all warm targets + k) / warm targets,
// so that its load exceeds that multiple of the mean by less than one request; an idle target
// always accepts one. Since the least loaded target never exceeds the mean, the bound alone never
// stalls a service: some target accepts work as long as one has a free slot.
//
// Cold targets: a target is cold when it is new, when its incarnation increases, after consecutive
// failures, or when its time to first byte becomes slow. Its allowance, the number of concurrent
// requests from the whole fleet, then starts at the cold allowance. It doubles after a window of
// successes and halves on a failure or a slow first byte; the target is warm once its allowance
// reaches the warm capacity.
#pragma once

#include "admission/chat_target_history.hpp"
#include "admission/first_byte_baseline.hpp"
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

// Load that a target reports about itself; `age` is the time since it was measured.
struct load_report {
    std::uint64_t incarnation = 0;
    std::uint32_t in_flight = 0;
    std::uint64_t outstanding_tokens = 0;
    helpers::duration age{};
};

// Load of the service's warm targets in the ledgers of other shard owners; included so that the
// mean covers the whole service.
struct peer_load {
    std::uint64_t tokens = 0;
    std::uint32_t warm_targets = 0;
};

class target_ledger {
public:
    static constexpr std::uint32_t unlimited_slots = std::numeric_limits<std::uint32_t>::max();

    explicit target_ledger(double load_multiple = 1.25) : load_multiple(load_multiple) {}

    // Replaces the list of targets. A target that was removed accepts no more work and is kept
    // until its outstanding work has finished. An incarnation below the known one comes from a
    // lagging list and is ignored.
    void set_targets(std::span<const ledger_target> listed, helpers::time_point now);

    // Sets the number of slots that are lent to this owner for the target; unlimited until set.
    void set_slot_limit(helpers::target_id target, std::uint32_t slots);

    void set_load_multiple(double multiple) { this->load_multiple = multiple; }
    void set_peer_load(peer_load load) { this->peers = load; }

    // Reserves one slot and the cost on a candidate that has room. Prefers targets on which the
    // conversation ran recently, then those on which other requests with the same key did;
    // otherwise takes the first. Returns nothing if no candidate has room now; one may have room
    // after the next finish(), report() or set_targets().
    std::optional<helpers::target_id> try_reserve(std::span<const helpers::target_id> candidates,
                                                  std::uint32_t cost_tokens,
                                                  helpers::time_point now,
                                                  const reservation_hints& hints = {});

    // Counts a request that is running already, when a follower registers it again. Never rejected.
    void add_existing(helpers::target_id target, std::uint32_t cost_tokens,
                      helpers::time_point now);

    // Releases one reservation, or one request of add_existing(), of the same cost. Unknown targets
    // are ignored.
    void finish(helpers::target_id target, std::uint32_t cost_tokens, release::result result,
                helpers::duration first_byte, helpers::time_point now);

    // Applies a target's own report. It adds load in excess of the highest count that the ledger
    // had since the report was measured, and never lowers the ledger's own count. Reports that are
    // older than report_max_age or of an earlier incarnation are ignored; a later incarnation makes
    // the target cold.
    void report(helpers::target_id target, const load_report& reported, helpers::time_point now);

    // Restores the allowance that an earlier owner had reached for the same incarnation of a
    // target, as followers recorded it from allowance(). Never lowers the allowance.
    void restore_allowance(helpers::target_id target, std::uint64_t incarnation,
                           std::uint32_t slots, helpers::time_point now);

    // Concurrent requests that the target may have, without regard to lent slots; the warm capacity
    // when warm.
    std::uint32_t allowance(helpers::target_id target) const;

    // Concurrent requests that this owner may have on the target: the lower of allowance and lent
    // slots; 0 if the target accepts no work.
    std::uint32_t capacity(helpers::target_id target, helpers::time_point now) const;

    // Requests on the target, including those known only from reports.
    std::uint32_t in_flight(helpers::target_id target) const;
    std::uint64_t outstanding_tokens(helpers::target_id target) const;
    bool warm(helpers::target_id target) const;
    bool contains(helpers::target_id target) const { return this->entries.contains(target); }

    // Mean load of the warm targets in tokens, including peer load; of all eligible targets while
    // none is warm.
    double mean_load() const;

    // Load of this ledger's warm targets, for set_peer_load() of other owners' ledgers.
    peer_load own_load() const;

    static constexpr helpers::duration report_max_age = std::chrono::seconds(5);
    static constexpr helpers::duration report_validity = std::chrono::seconds(10);
    static constexpr helpers::duration ramp_interval = std::chrono::seconds(1);
    static constexpr std::uint32_t ramp_successes = 4;
    static constexpr std::uint32_t failures_until_cold = 3;
    // One in this many slots is reserved for organisations without a backlog.
    static constexpr std::uint32_t reserved_slots_divisor = 8;

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
        // Load known only from reports; dropped at untracked_until.
        std::uint32_t untracked_requests = 0;
        std::uint64_t untracked_tokens = 0;
        helpers::time_point untracked_until;
        recent_peak peak_requests;
        recent_peak peak_tokens;
        helpers::time_point peak_window_start;
        std::uint32_t slot_limit = unlimited_slots;
        // Invariant: at least 1; the warm capacity when warm.
        std::uint32_t allowance = 1;
        bool warm = false;
        bool listed = false;
        // Whether reset_incarnation() ran, which it does when the target is listed first.
        bool initialised = false;
        std::uint32_t successes = 0;
        std::uint32_t failures = 0;
        helpers::time_point allowance_changed;
        first_byte_baseline first_bytes;

        std::uint32_t requests() const { return this->own_requests + this->untracked_requests; }
        std::uint64_t tokens() const { return this->own_tokens + this->untracked_tokens; }
        bool accepts_work() const { return this->listed && this->target.eligible; }
    };

    // Sums over the entries that accept work. Invariant: every change of an entry goes through
    // update(), which subtracts the entry and adds its new values; code that runs within it sees
    // the sums of the other targets.
    struct sums {
        std::uint64_t warm_tokens = 0;
        std::uint32_t warm_targets = 0;
        std::uint64_t cold_tokens = 0;
        std::uint32_t cold_targets = 0;
        // Recent times to first byte of the warm targets that have a baseline.
        double first_bytes = 0;
        std::uint32_t first_byte_targets = 0;
    };

    template <class Change>
    void update(entry& tracked, Change change) {
        this->adjust_totals(tracked, -1);
        change(tracked);
        this->adjust_totals(tracked, 1);
    }

    void adjust_totals(const entry& tracked, std::int64_t sign);
    std::optional<helpers::target_id> choose(std::span<const helpers::target_id> candidates,
                                             std::uint32_t cost_tokens,
                                             const reservation_hints& hints) const;
    int cached_rank(const entry& candidate, const reservation_hints& hints) const;
    const entry* find(helpers::target_id target) const;
    entry* find(helpers::target_id target);
    bool admits(const entry& candidate, std::uint32_t cost_tokens, bool from_backlog) const;
    double bound(std::uint32_t cost_tokens) const;
    void reset_incarnation(entry& tracked, helpers::time_point now);
    void make_cold(entry& tracked, helpers::time_point now);
    void clamp_allowance(entry& tracked);
    void halve_allowance(entry& tracked, helpers::time_point now);
    void record_success(entry& tracked, helpers::time_point now);
    void record_failure(entry& tracked, helpers::time_point now);
    void record_first_byte(entry& tracked, std::uint32_t cost_tokens, helpers::duration first_byte,
                           helpers::time_point now);
    double other_targets_first_byte() const;
    void update_peaks(entry& tracked, helpers::time_point now);
    void drop_expired_reports(helpers::time_point now);

    double load_multiple;
    peer_load peers;
    sums totals;
    helpers::time_point next_report_sweep;
    std::unordered_map<helpers::target_id, entry> entries;
    chat_target_history history;
};

} // namespace samphirespool::admission
