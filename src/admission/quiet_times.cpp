// Keeps the time of each target until it has fully returned.
#include "admission/quiet_times.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace samphirespool::admission {

std::optional<helpers::duration> parse_quiet_time(std::string_view text) {
    double seconds = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, seconds);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end || !std::isfinite(seconds) ||
        seconds < 0)
        return std::nullopt;
    const std::chrono::duration<double> longest = quiet_times::max_time;
    return std::chrono::duration_cast<helpers::duration>(
        std::chrono::duration<double>(std::min(seconds, longest.count())));
}

void quiet_times::on_rejection(target_id target, helpers::duration time, helpers::time_point now) {
    this->forget_expired(now);
    auto& entry = this->times[target];
    entry.until = std::max(entry.until, now + std::min(time, max_time));
    entry.sent = 0;
}

void quiet_times::on_sent(target_id target, helpers::time_point now) {
    const auto found = this->times.find(target);
    if (found != this->times.end() && now >= found->second.until)
        ++found->second.sent;
}

bool quiet_times::is_quiet(target_id target, helpers::time_point now) const {
    return this->time_left(target, now) > helpers::duration::zero();
}

bool quiet_times::may_send(target_id target, std::uint32_t slots, helpers::time_point now) const {
    const auto found = this->times.find(target);
    if (found == this->times.end())
        return true;
    if (now < found->second.until)
        return false;
    const std::chrono::duration<double> passed = now - found->second.until;
    const std::chrono::duration<double> whole = return_time;
    return passed >= whole || found->second.sent < 1 + slots * passed.count() / whole.count();
}

helpers::duration quiet_times::time_left(target_id target, helpers::time_point now) const {
    const auto found = this->times.find(target);
    return found == this->times.end() ? helpers::duration::zero()
                                      : std::max(found->second.until - now, helpers::duration{});
}

std::size_t quiet_times::quiet_count(helpers::time_point now) const {
    return static_cast<std::size_t>(
        std::count_if(this->times.begin(), this->times.end(),
                      [now](const auto& each) { return now < each.second.until; }));
}

void quiet_times::forget_expired(helpers::time_point now) {
    std::erase_if(this->times,
                  [now](const auto& each) { return now >= each.second.until + return_time; });
}

} // namespace samphirespool::admission
