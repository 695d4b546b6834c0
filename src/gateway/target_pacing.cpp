// Which services are paced, and how answers compare with their usual times.
#include "gateway/target_pacing.hpp"

#include "admission/first_byte_baseline.hpp"

#include <algorithm>
#include <limits>

namespace samphirespool::gateway {

namespace {

// A target that the catalog added within this time is new.
constexpr helpers::duration new_target_age = std::chrono::seconds(3);
// A service counts as one whose targets state their speed for this long after the last statement.
constexpr helpers::duration stated_lifetime = std::chrono::minutes(1);
// Times to first byte beyond these multiples of the usual one are slow, or bad.
constexpr double slow_ratio = 1.5;
constexpr double late_ratio = 4;
constexpr std::uint32_t min_samples = 8;
constexpr double sample_weight = 0.05;

} // namespace

pacing_mode parse_pacing_mode(std::string_view text) {
    if (text == "off")
        return pacing_mode::off;
    return text == "on" ? pacing_mode::on : pacing_mode::reported;
}

bool target_pacing::is_active(helpers::service_id service, helpers::time_point now) const {
    if (this->mode != pacing_mode::reported)
        return this->mode == pacing_mode::on;
    const auto found = this->services.find(service);
    return found != this->services.end() && found->second.stated_at &&
           now - *found->second.stated_at < stated_lifetime;
}

void target_pacing::on_report(const discovery::tracked_target& target,
                              const admission::occupancy_report& report, helpers::time_point now) {
    if (this->mode == pacing_mode::off || !report.speed_percent)
        return;
    this->services[target.registration.service].stated_at = now;
    this->speeds.on_report(target.incarnation_hash, *report.speed_percent, now);
}

double target_pacing::slowness(const discovery::tracked_target& target,
                               helpers::time_point now) const {
    return this->speeds.slowness(target.incarnation_hash, now);
}

admission::target_speed_list target_pacing::announcements(helpers::time_point now) const {
    return this->speeds.announcements(now);
}

void target_pacing::merge_speeds(const admission::target_speed_list& received,
                                 const discovery::target_catalog& catalog,
                                 helpers::time_point now) {
    if (this->mode == pacing_mode::off)
        return;
    this->speeds.merge(received, now);
    for (const auto& target : catalog.all_targets())
        if (std::any_of(received.begin(), received.end(), [&](const auto& each) {
                return each.incarnation_hash == target->incarnation_hash;
            }))
            this->services[target->registration.service].stated_at = now;
}

void target_pacing::observe(const discovery::tracked_target& target, bool is_away,
                            helpers::time_point now) {
    if (!this->is_active(target.registration.service, now))
        return;
    const bool is_new = now - target.added_at < new_target_age;
    this->log(this->pace.observe(target.incarnation_hash, target.registration.slots, is_new,
                                 is_away, now),
              target);
}

bool target_pacing::may_send(const discovery::tracked_target& target, std::uint32_t own_in_flight,
                             helpers::time_point now) const {
    const auto found = this->services.find(target.registration.service);
    if (!this->is_active(target.registration.service, now) ||
        (found != this->services.end() && found->second.is_mostly_paced))
        return true;
    return this->pace.may_send(target.incarnation_hash, own_in_flight, now);
}

void target_pacing::on_answer(const discovery::tracked_target& target, helpers::duration time,
                              std::uint64_t prompt_tokens, helpers::time_point now) {
    if (!this->is_active(target.registration.service, now))
        return;
    const auto tokens =
        std::min<std::uint64_t>(prompt_tokens, std::numeric_limits<std::uint32_t>::max());
    const auto sample =
        admission::first_byte_baseline::normalise(time, static_cast<std::uint32_t>(tokens));
    auto& state = this->services[target.registration.service];
    if (!this->is_paced(target)) {
        ++state.samples;
        const auto weight = std::max(sample_weight, 1.0 / state.samples);
        state.usual += weight * (sample - state.usual);
        return;
    }
    auto answer = admission::pace_answer::in_time;
    if (state.samples >= min_samples && sample > state.usual * slow_ratio)
        answer = sample > state.usual * late_ratio ? admission::pace_answer::bad
                                                   : admission::pace_answer::slow;
    this->log(this->pace.on_answer(target.incarnation_hash, answer, now), target);
}

void target_pacing::on_bad_answer(const discovery::tracked_target& target,
                                  helpers::time_point now) {
    this->log(this->pace.on_answer(target.incarnation_hash, admission::pace_answer::bad, now),
              target);
}

void target_pacing::on_totals(const discovery::tracked_target& target,
                              const admission::pace_totals& totals, helpers::time_point now) {
    this->log(this->pace.on_totals(target.incarnation_hash, totals, now), target);
}

void target_pacing::set_service_size(helpers::service_id service, std::size_t targets,
                                     std::size_t paced) {
    this->services[service].is_mostly_paced = paced * 2 > targets;
}

void target_pacing::log(admission::pace_change change,
                        const discovery::tracked_target& target) const {
    if (change == admission::pace_change::none)
        return;
    const auto name = change == admission::pace_change::opened   ? "target.pace_opened"
                      : change == admission::pace_change::halved ? "target.pace_halved"
                                                                 : "target.pace_ended";
    this->events.write(
        kernel::severity::info, name, std::nullopt,
        {{"target", target.registration.name},
         {"window", std::uint64_t{this->pace.window(target.incarnation_hash).value_or(0)}},
         {"slots", std::uint64_t{target.registration.slots}}});
}

} // namespace samphirespool::gateway
