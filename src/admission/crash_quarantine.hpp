// Finds prompt segments that crash the targets that process them, and keeps requests with such a
// segment away from targets. When a target is lost, every request in progress there is a possible
// cause; a segment is blamed once several targets, at different moments, were lost with one of its
// requests, while no request with that segment has got past the start of its response. Gateways
// share their evidence, since each sees only a part of the requests.
#pragma once

#include "helpers/time.hpp"
#include "placement/target_choice.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace samphirespool::admission {

// What gateways tell each other about one segment: its state, or the loss of one target.
struct crash_evidence {
    std::uint64_t suspect = 0;
    // How often the segment was cleared. Evidence of an earlier generation is void.
    std::uint16_t generation = 0;
    bool is_quarantined = false;
    // The incarnation of the lost target; 0 if the entry states no loss.
    std::uint32_t incarnation_hash = 0;
    // Number of segments before this one in the prompt.
    std::uint8_t depth = 0;
    // Trials of the quarantined segment that cost a target.
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
        // Admitted to find out whether a quarantined segment is still harmful. No deeper segment of
        // the prompt is under suspicion.
        trial,
        quarantined,
    };

    // A segment whose state changed, for the log.
    struct transition {
        std::uint64_t suspect = 0;
        bool is_quarantined = false;
        // Moments at which targets were lost with a request of this segment.
        std::size_t losses = 0;
    };

    explicit crash_quarantine(std::string self) : self(std::move(self)) {}

    // Names of all gateways, which take turns with trials.
    void set_members(std::vector<std::string> names) { this->members = std::move(names); }

    // A target was lost while it processed the prompt and its response was not under way.
    // `admitted_as` is what check() returned for the request.
    void on_target_lost(const placement::prompt& prompt, std::uint32_t incarnation_hash,
                        bool had_begun, verdict admitted_as, helpers::time_point now);
    // A target has got past the start of its response to the prompt, which clears its segments.
    void on_under_way(const placement::prompt& prompt, helpers::time_point now);

    // Whether a request with this prompt may be sent. A trial counts as sent.
    verdict check(const placement::prompt& prompt, helpers::time_point now);
    bool is_quarantined(const placement::prompt& prompt) const;

    // Evidence for the other gateways: quarantined segments, then those that lost several targets
    // and what has changed recently, strongest suspicion first. Bounded by max_sent_evidence.
    crash_evidence_list evidence(helpers::time_point now) const;
    void merge(std::span<const crash_evidence> received, helpers::time_point now);

    // The state of a segment: whether it is quarantined, and since how many clearances. Nothing if
    // the segment is unknown.
    std::optional<crash_evidence> state_of(std::uint64_t id) const;
    std::vector<crash_evidence> quarantined() const;

    // Returns the segments that were quarantined or released since the last call.
    std::vector<transition> take_transitions();
    std::size_t quarantined_count() const;

    static constexpr std::size_t max_sent_evidence = 96;

private:
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
    suspect_map::iterator find_suspect();
    bool has_likelier_suspect(const suspect_state& suspect,
                              const std::vector<loss>& unexplained) const;
    static bool has_loss(const std::vector<loss>& losses, std::uint32_t incarnation_hash);
    static weight weigh(const std::vector<loss>& losses);
    // The losses for which no quarantined segment is the likelier cause.
    std::vector<loss> unexplained_losses(const suspect_state& state) const;
    static void append_evidence(std::uint64_t id, const suspect_state& state,
                                helpers::time_point now, crash_evidence_list& into);
    static crash_evidence describe(std::uint64_t id, const suspect_state& state);
    bool may_try(std::uint64_t id, const suspect_state& state, helpers::time_point now) const;
    void evict(helpers::time_point now);

    std::string self;
    std::vector<std::string> members;
    suspect_map suspects;
    std::vector<transition> transitions;
};

} // namespace samphirespool::admission
