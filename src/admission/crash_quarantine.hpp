// Finds what crashes the targets that process it, and keeps it away from targets. A suspect is a
// prompt segment, which different requests share, or a request that comes again. When a target is
// lost, every request in progress there is a possible cause; a suspect is quarantined once several
// targets, at different moments, were lost with one of its requests, while no request of it has got
// past the start of its response. Gateways share their evidence, since each sees only a part of the
// requests.
#pragma once

#include "helpers/time.hpp"
#include "placement/target_choice.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <tuple>
#include <vector>

namespace samphirespool::admission {

// What a request may crash its target with.
struct suspect {
    // Id of a prompt segment, or digest of a request.
    std::uint64_t id = 0;
    // Number of segments before this one in the prompt, or request_depth.
    std::uint8_t depth = 0;
};

using suspect_list = std::vector<suspect>;

// Depth of a request as a whole: it comes after all segments of its prompt.
inline constexpr std::uint8_t request_depth = 255;

constexpr bool is_request(std::uint8_t depth) {
    return depth == request_depth;
}

// The segments that other requests can share, which are all but the last, and then the request
// itself.
suspect_list suspects_of(const placement::prompt& prompt, std::uint64_t request_digest);

// What gateways tell each other about one suspect: its state, or the loss of one target.
struct crash_evidence {
    std::uint64_t suspect = 0;
    // How often the suspect was cleared. Evidence of an earlier generation is void.
    std::uint16_t generation = 0;
    bool is_quarantined = false;
    // The incarnation of the lost target; 0 if the entry states no loss.
    std::uint32_t incarnation_hash = 0;
    // See admission::suspect.
    std::uint8_t depth = 0;
    // Trials of the quarantined suspect that cost a target.
    std::uint8_t failed_trials = 0;
    // The response had begun, but was not under way.
    bool had_begun = false;
    // Time since the loss.
    helpers::duration age{};

    friend bool operator==(const crash_evidence&, const crash_evidence&) = default;
};

using crash_evidence_list = std::vector<crash_evidence>;

class crash_quarantine {
public:
    enum class verdict : std::uint8_t {
        admitted,
        // Admitted to find out whether a quarantined suspect is still harmful. No deeper suspect of
        // the request has lost a target.
        trial,
        // May be sent soon, or turn out to be harmful: the caller of check() asks again.
        held,
        quarantined,
    };

    struct decision {
        verdict result = verdict::admitted;
        // The quarantined suspect that decided; empty if the request is admitted.
        std::optional<suspect> cause;
    };

    // A suspect whose state changed, for the log.
    struct transition {
        suspect changed;
        bool is_quarantined = false;
        // Moments at which targets were lost with a request of this suspect.
        std::size_t losses = 0;
    };

    explicit crash_quarantine(std::string self) : self(std::move(self)) {}

    // Names of all gateways, which take turns with trials.
    void set_members(std::vector<std::string> names) { this->members = std::move(names); }

    // A target was lost while it processed a request with these suspects and its response was not
    // under way. `admitted_as` is what check() returned for the request.
    void on_target_lost(std::span<const suspect> request, std::uint32_t incarnation_hash,
                        bool had_begun, verdict admitted_as, helpers::time_point now);
    // A target has got past the start of its response, which clears the suspects of the request.
    void on_under_way(std::span<const suspect> request, helpers::time_point now);

    // Whether a request with these suspects may be sent. A trial counts as sent.
    decision check(std::span<const suspect> request, helpers::time_point now);
    bool is_quarantined(std::span<const suspect> request) const;

    // Evidence for the other gateways: quarantined suspects, then those that lost several targets
    // and what has changed recently, strongest suspicion first. Bounded by max_sent_evidence.
    crash_evidence_list evidence(helpers::time_point now) const;
    void merge(std::span<const crash_evidence> received, helpers::time_point now);

    // The state of a suspect: whether it is quarantined, and since how many clearances. Nothing if
    // the suspect is unknown.
    std::optional<crash_evidence> state_of(std::uint64_t id) const;
    std::vector<crash_evidence> quarantined() const;

    // Returns the suspects that were quarantined or released since the last call.
    std::vector<transition> take_transitions();
    std::size_t quarantined_segments() const;
    std::size_t quarantined_requests() const;

    static constexpr std::size_t max_sent_evidence = 96;

private:
    // Losses for which a request is blamed.
    static constexpr std::size_t request_losses = 3;
    static constexpr std::uint8_t max_failed_trials = 3;

    struct loss {
        std::uint32_t incarnation_hash = 0;
        bool had_begun = false;
        helpers::time_point at{};
    };

    struct suspect_state {
        std::uint16_t generation = 0;
        std::uint8_t depth = 0;
        bool is_quarantined = false;
        // Invariant: one entry for each incarnation, ordered by time, at most max_losses.
        std::vector<loss> losses;
        std::uint8_t failed_trials = 0;
        helpers::time_point quarantined_at{};
        helpers::time_point changed_at{};
        std::optional<helpers::time_point> cleared_at;
        // The latest trial that this gateway sent.
        std::optional<helpers::time_point> trial_at;
    };

    struct weight {
        std::size_t moments = 0;
        std::uint32_t score = 0;
    };

    using suspect_map = std::map<std::uint64_t, suspect_state>;

    bool record_loss(suspect_state& state, const loss& added, helpers::time_point now);
    bool merge_one(const crash_evidence& received, helpers::time_point now);
    void clear(std::uint64_t id, suspect_state& state, helpers::time_point now);
    void quarantine(std::uint64_t id, suspect_state& state, helpers::time_point now);
    void quarantine_suspects(helpers::time_point now);
    void release_explained(helpers::time_point now);
    suspect_map::iterator find_suspect();
    bool has_likelier_suspect(const suspect_state& suspect,
                              const std::vector<loss>& unexplained) const;
    // Whether `cause` was there at enough of these losses of `suspect` to explain them.
    static bool covers(const suspect_state& cause, const suspect_state& suspect,
                       const std::vector<loss>& losses);
    static helpers::time_point last_loss(const suspect_state& state);
    static bool has_loss(const std::vector<loss>& losses, std::uint32_t incarnation_hash);
    static weight weigh(const suspect_state& state, const std::vector<loss>& losses);
    // The losses for which no quarantined suspect is the likelier cause.
    std::vector<loss> unexplained_losses(const suspect_state& state) const;
    static void append_evidence(std::uint64_t id, const suspect_state& state,
                                helpers::time_point now, crash_evidence_list& into);
    static crash_evidence describe(std::uint64_t id, const suspect_state& state);
    bool may_try(std::uint64_t id, const suspect_state& state, helpers::time_point now) const;
    // Whether the losses of a quarantined request may still be a coincidence.
    bool is_unverified(const suspect_state& state) const;
    bool has_losses_without(const suspect_state& state) const;
    // Whether this gateway may verify that the request, whose losses may be a coincidence, is
    // harmful.
    bool may_verify(std::uint64_t id, const suspect_state& state, helpers::time_point now) const;
    std::size_t rank_in_turn(std::uint64_t id, std::int64_t turn) const;
    static void count_parallel_trials(suspect_state& state);
    std::size_t count_quarantined(bool requests) const;
    // Suspects with the lowest rank are evicted first.
    static std::tuple<bool, bool, helpers::time_point> keeping_rank(const suspect_state& state);
    void evict(helpers::time_point now);

    std::string self;
    std::vector<std::string> members;
    suspect_map suspects;
    std::vector<transition> transitions;
};

} // namespace samphirespool::admission
