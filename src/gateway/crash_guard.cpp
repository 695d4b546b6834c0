// Connects the quarantine of prompt segments with the requests, the clock and the log.
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

void crash_guard::on_target_lost(const placement::prompt& prompt, std::uint32_t incarnation_hash,
                                 bool had_begun, verdict admitted_as) {
    this->quarantine.on_target_lost(prompt, incarnation_hash, had_begun, admitted_as,
                                    this->loop.time().now());
    this->log_transitions();
}

void crash_guard::on_under_way(const placement::prompt& prompt) {
    this->quarantine.on_under_way(prompt, this->loop.time().now());
    this->log_transitions();
}

crash_guard::verdict crash_guard::check(const placement::prompt& prompt) {
    const auto result = this->quarantine.check(prompt, this->loop.time().now());
    if (result == verdict::quarantined)
        ++this->rejection_count;
    if (result == verdict::trial)
        ++this->trial_count;
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
    for (const auto& each : this->quarantine.take_transitions())
        this->events.write(
            each.is_quarantined ? kernel::severity::warning : kernel::severity::info,
            each.is_quarantined ? "segment.quarantined" : "segment.released", std::nullopt,
            {{"segment", helpers::to_hex(each.suspect)}, {"losses", std::uint64_t{each.losses}}});
}

} // namespace samphirespool::gateway
