// Keeps requests whose prompts crash targets away from them: passes what happens to requests to the
// quarantine of prompt segments, and logs its decisions.
#pragma once

#include "admission/crash_quarantine.hpp"
#include "kernel/event.hpp"
#include "kernel/loop.hpp"

#include <span>
#include <string>
#include <vector>

namespace samphirespool::gateway {

class crash_guard {
public:
    using verdict = admission::crash_quarantine::verdict;

    crash_guard(kernel::loop& loop, kernel::event_sink& events, std::string self);

    void set_members(std::vector<std::string> names);

    // The connection to the target was lost before the response was under way.
    void on_target_lost(const placement::prompt& prompt, std::uint32_t incarnation_hash,
                        bool had_begun, verdict admitted_as);
    // The response has got past its start.
    void on_under_way(const placement::prompt& prompt);

    // Whether a request with this prompt may be sent; see crash_quarantine::check().
    verdict check(const placement::prompt& prompt);
    bool is_quarantined(const placement::prompt& prompt) const {
        return this->quarantine.is_quarantined(prompt);
    }

    // The evidence that this gateway shares, and that of its peers.
    const admission::crash_evidence_list& evidence();
    void merge(std::span<const admission::crash_evidence> received);

    // The state of segments, for the registry in the store.
    std::optional<admission::crash_evidence> state_of(std::uint64_t segment) const {
        return this->quarantine.state_of(segment);
    }
    std::vector<admission::crash_evidence> quarantined() const {
        return this->quarantine.quarantined();
    }

    std::size_t quarantined_segments() const { return this->quarantine.quarantined_count(); }
    const std::uint64_t& rejections() const { return this->rejection_count; }
    const std::uint64_t& trials() const { return this->trial_count; }

private:
    void log_transitions();

    kernel::loop& loop;
    kernel::event_sink& events;
    admission::crash_quarantine quarantine;
    // The latest result of evidence(), since a hub needs it for each reply.
    admission::crash_evidence_list cached_evidence;
    helpers::time_point cached_at{};
    std::uint64_t rejection_count = 0;
    std::uint64_t trial_count = 0;
};

} // namespace samphirespool::gateway
