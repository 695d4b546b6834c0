// Connects the crash quarantine with the requests, the clock and the log.
#include "gateway/crash_guard.hpp"

#include "helpers/hex.hpp"

#include <utility>

namespace samphirespool::gateway {

namespace {

constexpr helpers::duration evidence_cache_time = std::chrono::milliseconds(40);

} // namespace

crash_guard::crash_guard(kernel::loop& loop, kernel::event_sink& events, std::string self)
    : loop(loop), events(events), quarantine(std::move(self)) {}

void crash_guard::set_members(std::vector<std::string> names) {
    this->quarantine.set_members(std::move(names));
}

void crash_guard::on_target_lost(std::span<const admission::suspect> request,
                                 std::uint32_t incarnation_hash, bool had_begun,
                                 verdict admitted_as) {
    this->quarantine.on_target_lost(request, incarnation_hash, had_begun, admitted_as,
                                    this->loop.time().now());
    this->log_transitions();
}

void crash_guard::on_under_way(std::span<const admission::suspect> request) {
    this->quarantine.on_under_way(request, this->loop.time().now());
    this->log_transitions();
}

crash_guard::decision crash_guard::check(std::span<const admission::suspect> request,
                                         std::string_view request_id) {
    const auto result = this->quarantine.check(request, this->loop.time().now());
    const bool is_request = result.cause && admission::is_request(result.cause->depth);
    if (result.result == verdict::quarantined)
        ++(is_request ? this->request_rejection_count : this->prompt_rejection_count);
    if (result.result == verdict::trial) {
        ++this->trial_count;
        this->events.write(kernel::severity::info, "quarantine.tried", std::nullopt,
                           {{"request_id", std::string(request_id)},
                            {is_request ? "digest" : "segment",
                             helpers::to_hex(result.cause ? result.cause->id : 0)}});
    }
    return result;
}

const admission::crash_evidence_list& crash_guard::evidence() {
    const auto now = this->loop.time().now();
    if (now - this->cached_at < evidence_cache_time)
        return this->cached_evidence;
    this->cached_at = now;
    this->cached_evidence = this->quarantine.evidence(now);
    return this->cached_evidence;
}

void crash_guard::merge(std::span<const admission::crash_evidence> received) {
    this->quarantine.merge(received, this->loop.time().now());
    this->log_transitions();
}

void crash_guard::log_transitions() {
    for (const auto& each : this->quarantine.take_transitions()) {
        const bool is_request = admission::is_request(each.changed.depth);
        const auto* quarantined = is_request ? "request.quarantined" : "segment.quarantined";
        const auto* released = is_request ? "request.released" : "segment.released";
        this->events.write(each.is_quarantined ? kernel::severity::warning : kernel::severity::info,
                           each.is_quarantined ? quarantined : released, std::nullopt,
                           {{is_request ? "digest" : "segment", helpers::to_hex(each.changed.id)},
                            {"losses", std::uint64_t{each.losses}}});
    }
}

} // namespace samphirespool::gateway
