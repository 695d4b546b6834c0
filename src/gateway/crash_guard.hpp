// Keeps requests that crash targets away from them: passes what happens to requests to the crash
// quarantine, and logs its decisions.
#pragma once

#include "admission/crash_quarantine.hpp"
#include "kernel/event.hpp"
#include "kernel/loop.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace samphirespool::gateway {

class crash_guard {
public:
    using verdict = admission::crash_quarantine::verdict;
    using decision = admission::crash_quarantine::decision;

    crash_guard(kernel::loop& loop, kernel::event_sink& events, std::string self);

    void set_members(std::vector<std::string> names);

    // The connection to the target was lost before the response was under way.
    void on_target_lost(std::span<const admission::suspect> request, std::uint32_t incarnation_hash,
                        bool had_begun, verdict admitted_as);
    // The response has got past its start.
    void on_under_way(std::span<const admission::suspect> request);

    // Whether a request with these suspects may be sent; see crash_quarantine::check().
    // `request_id` is for the log.
    decision check(std::span<const admission::suspect> request, std::string_view request_id);
    bool is_quarantined(std::span<const admission::suspect> request) const {
        return this->quarantine.is_quarantined(request);
    }

    // The evidence that this gateway shares, and that of its peers.
    const admission::crash_evidence_list& evidence();
    void merge(std::span<const admission::crash_evidence> received);

    // The state of suspects, for the registry in the store.
    std::optional<admission::crash_evidence> state_of(std::uint64_t suspect) const {
        return this->quarantine.state_of(suspect);
    }
    std::vector<admission::crash_evidence> quarantined() const {
        return this->quarantine.quarantined();
    }

    std::size_t quarantined_segments() const { return this->quarantine.quarantined_segments(); }
    std::size_t quarantined_requests() const { return this->quarantine.quarantined_requests(); }
    const std::uint64_t& prompt_rejections() const { return this->prompt_rejection_count; }
    const std::uint64_t& request_rejections() const { return this->request_rejection_count; }
    const std::uint64_t& trials() const { return this->trial_count; }

private:
    void log_transitions();

    kernel::loop& loop;
    kernel::event_sink& events;
    admission::crash_quarantine quarantine;
    // The latest result of evidence(), since a hub needs it for each reply.
    admission::crash_evidence_list cached_evidence;
    helpers::time_point cached_at{};
    std::uint64_t prompt_rejection_count = 0;
    std::uint64_t request_rejection_count = 0;
    std::uint64_t trial_count = 0;
};

} // namespace samphirespool::gateway
