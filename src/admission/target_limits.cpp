// Division of named limits among the gateways, and their exchange.
#include "admission/target_limits.hpp"

#include "admission/member_rank.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace samphirespool::admission {

namespace {

// A share is counted over this window, so that low limits can be divided too.
constexpr helpers::duration min_window = std::chrono::seconds(4);
// A target whose limit is below one request in this time still gets one, which shows whether it
// names the limit any longer.
constexpr helpers::duration max_window = std::chrono::seconds(30);
// A limit of which nothing was heard for this long is dropped; the next response tells it again.
constexpr helpers::duration limit_lifetime = std::chrono::seconds(30);
constexpr helpers::duration ended_lifetime = std::chrono::seconds(10);
constexpr helpers::duration announcement_period = std::chrono::seconds(5);
constexpr helpers::duration announcement_length = std::chrono::seconds(1);
// Ages grow a little with each gateway that passes a limit on. What is newer by less than this may
// be the same response.
constexpr helpers::duration age_margin = std::chrono::milliseconds(200);
constexpr double max_rate = 1e6;

helpers::duration window_of(double per_second) {
    const auto one_request =
        per_second > 0 ? std::chrono::duration_cast<helpers::duration>(
                             std::chrono::duration<double>(std::min(1 / per_second, 60.0)))
                       : max_window;
    return std::clamp(one_request, min_window, max_window);
}

// Requests of all gateways together in a window.
std::size_t total_of(double per_second) {
    const std::chrono::duration<double> window = window_of(per_second);
    return std::max<std::size_t>(1, static_cast<std::size_t>(per_second * window.count()));
}

} // namespace

std::optional<double> parse_request_rate(std::string_view text) {
    double value = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end || !std::isfinite(value) ||
        value < 0)
        return std::nullopt;
    return std::min(value, max_rate);
}

void target_limits::set_members(std::vector<std::string> names) {
    this->members = std::move(names);
    if (std::find(this->members.begin(), this->members.end(), this->self) == this->members.end())
        this->members.push_back(this->self);
}

bool target_limits::on_response(std::uint32_t target, std::optional<double> per_second,
                                helpers::time_point now) {
    auto found = this->targets.find(target);
    if (found == this->targets.end()) {
        if (!per_second)
            return false;
        this->remove_expired(now);
        found = this->targets.emplace(target, entry{}).first;
    }
    auto& known = found->second;
    known.heard_at = now;
    if (known.per_second == per_second)
        return false;
    known.per_second = per_second;
    known.changed_at = now;
    return true;
}

void target_limits::on_sent(std::uint32_t target, helpers::time_point now) {
    const auto found = this->targets.find(target);
    if (found == this->targets.end() || !found->second.per_second)
        return;
    auto& sent = found->second.sent;
    while (!sent.empty() && now - sent.front() > max_window)
        sent.pop_front();
    sent.push_back(now);
}

bool target_limits::may_send(std::uint32_t target, helpers::time_point now) const {
    const auto found = this->targets.find(target);
    if (found == this->targets.end() || !found->second.per_second)
        return true;
    const auto& known = found->second;
    if (now - known.heard_at > limit_lifetime)
        return true;
    const auto window = window_of(*known.per_second);
    const auto recent = std::count_if(known.sent.begin(), known.sent.end(),
                                      [&](helpers::time_point at) { return now - at < window; });
    return static_cast<std::size_t>(recent) < this->share_of(target, total_of(*known.per_second));
}

// An equal part for each gateway; those that rank first for the target get what remains, one each.
std::size_t target_limits::share_of(std::uint32_t target, std::size_t total) const {
    const auto count = this->members.size();
    if (count == 0)
        return 0;
    const auto rank = rank_among(this->members, this->self, std::to_string(target));
    return total / count + (rank < total % count ? 1 : 0);
}

target_limit_list target_limits::announcements(helpers::time_point now) const {
    target_limit_list result;
    for (const auto& [target, known] : this->targets) {
        if (result.size() >= max_announced)
            break;
        if ((now - known.changed_at) % announcement_period < announcement_length)
            result.push_back({target, known.per_second, now - known.heard_at});
    }
    return result;
}

target_limit_list target_limits::merge(std::span<const target_limit> received,
                                       helpers::time_point now) {
    target_limit_list changed;
    for (const auto& each : received) {
        const auto heard_at = now - each.age;
        if (each.age > limit_lifetime)
            continue;
        const auto found = this->targets.find(each.incarnation_hash);
        if (found == this->targets.end() && !each.per_second)
            continue;
        if (found != this->targets.end() && heard_at <= found->second.heard_at + age_margin)
            continue;
        if (this->on_response(each.incarnation_hash, each.per_second, now))
            changed.push_back(each);
        this->targets.at(each.incarnation_hash).heard_at = heard_at;
    }
    return changed;
}

void target_limits::remove_expired(helpers::time_point now) {
    std::erase_if(this->targets, [now](const auto& each) {
        const auto lifetime = each.second.per_second ? limit_lifetime : ended_lifetime;
        return now - each.second.heard_at > lifetime;
    });
}

std::size_t target_limits::limited_count() const {
    return static_cast<std::size_t>(
        std::count_if(this->targets.begin(), this->targets.end(),
                      [](const auto& each) { return each.second.per_second.has_value(); }));
}

} // namespace samphirespool::admission
