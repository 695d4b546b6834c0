// Keeps the latest speed of each target and its age.
#include "admission/target_speeds.hpp"

#include "admission/target_load.hpp"

#include <algorithm>
#include <cmath>

namespace samphirespool::admission {

namespace {

constexpr std::uint32_t usual_percent = 100;
// Added to the age of a received figure for the time in transit, which is not counted, so that a
// figure that gateways pass around reaches its lifetime.
constexpr helpers::duration hop_age = std::chrono::milliseconds(30);
// A received figure that is newer by less than this may be the same response.
constexpr helpers::duration age_margin = std::chrono::milliseconds(100);
// Above this size expired entries are removed before another one is added.
constexpr std::size_t max_entries = 1024;

} // namespace

void target_speeds::set(std::uint32_t target, const entry& latest, helpers::time_point now) {
    if (this->targets.size() >= max_entries && !this->targets.contains(target))
        std::erase_if(this->targets,
                      [now](const auto& each) { return now - each.second.heard_at >= lifetime; });
    this->targets[target] = latest;
}

void target_speeds::on_report(std::uint32_t target, std::uint32_t percent,
                              helpers::time_point now) {
    this->set(target, {std::clamp(percent, 1U, max_speed_percent), now}, now);
}

double target_speeds::slowness(std::uint32_t target, helpers::time_point now) const {
    const auto found = this->targets.find(target);
    if (found == this->targets.end())
        return 1;
    const auto age = now - found->second.heard_at;
    if (age >= lifetime)
        return 1;
    const std::chrono::duration<double> elapsed = age;
    const std::chrono::duration<double> half = half_life;
    const auto weight = std::exp2(-elapsed.count() / half.count());
    return 1 + (static_cast<double>(found->second.percent) / usual_percent - 1) * weight;
}

target_speed_list target_speeds::announcements(helpers::time_point now) const {
    target_speed_list result;
    for (const auto& [target, known] : this->targets)
        if (known.percent != usual_percent && now - known.heard_at < lifetime)
            result.push_back({target, known.percent, now - known.heard_at});
    if (result.size() <= max_announced)
        return result;
    const auto last = result.begin() + max_announced;
    std::nth_element(result.begin(), last, result.end(),
                     [](const auto& a, const auto& b) { return a.age < b.age; });
    result.erase(last, result.end());
    return result;
}

void target_speeds::merge(std::span<const target_speed> received, helpers::time_point now) {
    for (const auto& each : received) {
        if (each.percent == 0 || each.age < helpers::duration::zero() ||
            each.age + hop_age >= lifetime)
            continue;
        const auto heard_at = now - each.age - hop_age;
        const auto found = this->targets.find(each.incarnation_hash);
        if (found == this->targets.end() || heard_at > found->second.heard_at + age_margin)
            this->set(each.incarnation_hash, {std::min(each.percent, max_speed_percent), heard_at},
                      now);
    }
}

std::size_t target_speeds::changed_count(helpers::time_point now) const {
    return static_cast<std::size_t>(
        std::count_if(this->targets.begin(), this->targets.end(), [now](const auto& each) {
            return each.second.percent != usual_percent && now - each.second.heard_at < lifetime;
        }));
}

} // namespace samphirespool::admission
