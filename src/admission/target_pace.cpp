// Growth, halving and end of the windows, and this gateway's part of them.
#include "admission/target_pace.hpp"

#include "admission/member_rank.hpp"

#include <algorithm>

namespace samphirespool::admission {

namespace {

// A window begins at this part (1/n) of the target's slots, at least min_start.
constexpr std::uint32_t start_divisor = 8;
constexpr std::uint32_t min_start = 2;
// Answers to requests from before a halving arrive for about this time and do not halve it again.
constexpr helpers::duration halving_interval = std::chrono::milliseconds(300);
// Without answers of its own, a gateway that hears the totals takes a round as passed after this
// time if they do not list the target, since targets with failures are always listed.
constexpr helpers::duration silent_round = std::chrono::seconds(1);
// Older totals are not used: most of the requests that they count have finished.
constexpr helpers::duration totals_lifetime = std::chrono::milliseconds(800);
// The window is no longer the limit once it has been at least the mean load for this long.
constexpr helpers::duration above_mean_time = std::chrono::seconds(2);
// Gateways are assumed to have at least this many requests until the next totals, which bounds how
// many of them may send where one request each is free for few.
constexpr double min_rate = 0.1;
constexpr helpers::duration entry_lifetime = std::chrono::seconds(60);

} // namespace

void target_pace::set_members(std::vector<std::string> names) {
    this->members = std::move(names);
    if (std::find(this->members.begin(), this->members.end(), this->self) == this->members.end())
        this->members.push_back(this->self);
}

pace_change target_pace::observe(std::uint32_t target, std::uint32_t slots, bool is_new,
                                 bool is_away, helpers::time_point now) {
    const auto [found, is_first] = this->targets.try_emplace(target);
    auto& known = found->second;
    const bool returns = known.is_away && !is_away;
    known.is_away = is_away;
    known.slots = std::max(1U, slots);
    known.seen_at = now;
    if (is_away) {
        known.window.reset();
        return pace_change::none;
    }
    if (known.window && now - known.window->opened_at >= max_age) {
        known.window.reset();
        return pace_change::ended;
    }
    if (!returns && !(is_first && is_new))
        return pace_change::none;
    const auto start = std::max(min_start, known.slots / start_divisor);
    if (start >= known.slots)
        return pace_change::none;
    open_window window;
    window.size = start;
    window.opened_at = now;
    window.round_began_at = now;
    known.window = window;
    return pace_change::opened;
}

// An equal part for each gateway; those that rank first get what remains, one each. The rank
// depends on the total, so that a gateway with few requests does not hold back each round.
std::uint32_t target_pace::part_of(std::uint32_t target, std::uint32_t total) const {
    const auto count = static_cast<std::uint32_t>(std::max<std::size_t>(1, this->members.size()));
    const auto rank =
        rank_among(this->members, this->self, std::to_string(target) + ':' + std::to_string(total));
    return total / count + (rank < total % count ? 1 : 0);
}

bool target_pace::has_totals(const open_window& window, helpers::time_point now) {
    return window.totals && now - window.totals_at < totals_lifetime;
}

std::uint32_t target_pace::allowed(std::uint32_t target, const open_window& window,
                                   helpers::time_point now) const {
    if (!has_totals(window, now) || !window.totals->is_listed)
        return this->part_of(target, window.size);
    const auto own = window.totals->own_in_flight;
    const auto used = own + window.totals->peers_in_flight;
    const auto free = window.size - std::min(window.size, used);
    if (free >= this->members.size())
        return own + this->part_of(target, free);
    // In a large fleet most gateways have no request until the next totals. As many may send one
    // as makes the expected number equal to what is free.
    const auto rate = std::clamp(window.totals->own_rate, min_rate, 1.0);
    return own + std::min(1U, this->part_of(target, static_cast<std::uint32_t>(free / rate)));
}

bool target_pace::may_send(std::uint32_t target, std::uint32_t own_in_flight,
                           helpers::time_point now) const {
    const auto found = this->targets.find(target);
    if (found == this->targets.end() || !found->second.window)
        return true;
    return own_in_flight < this->allowed(target, *found->second.window, now);
}

pace_change target_pace::halve(open_window& window, helpers::time_point now) {
    window.round_answers = 0;
    window.round_began_at = now;
    if (window.size == 1 || now - window.halved_at < halving_interval)
        return pace_change::none;
    window.size /= 2;
    window.halved_at = now;
    window.above_mean_since.reset();
    return pace_change::halved;
}

// Without totals, this gateway's own part of the answers makes up a round.
pace_change target_pace::finish_round(std::uint32_t target, entry& known,
                                      helpers::time_point now) const {
    auto& window = *known.window;
    const bool knows_peers = has_totals(window, now) && window.totals->is_listed;
    const auto needed =
        knows_peers ? window.size : std::max(1U, this->part_of(target, window.size));
    if (window.round_answers < needed)
        return pace_change::none;
    window.size *= 2;
    window.round_answers = 0;
    window.round_began_at = now;
    if (window.size < known.slots)
        return pace_change::none;
    known.window.reset();
    return pace_change::ended;
}

pace_change target_pace::on_answer(std::uint32_t target, pace_answer answer,
                                   helpers::time_point now) {
    const auto found = this->targets.find(target);
    if (found == this->targets.end() || !found->second.window)
        return pace_change::none;
    auto& window = *found->second.window;
    if (answer == pace_answer::bad)
        return halve(window, now);
    if (answer == pace_answer::slow) {
        window.round_answers = 0;
        window.round_began_at = now;
        return pace_change::none;
    }
    ++window.round_answers;
    return this->finish_round(target, found->second, now);
}

pace_change target_pace::on_totals(std::uint32_t target, const pace_totals& totals,
                                   helpers::time_point now) {
    const auto found = this->targets.find(target);
    if (found == this->targets.end() || !found->second.window)
        return pace_change::none;
    auto& window = *found->second.window;
    // The totals are of a sliding window: a rise is a new result.
    const auto rise = [](std::uint32_t latest, std::uint32_t before) {
        return latest - std::min(latest, before);
    };
    const auto before = window.totals.value_or(totals);
    window.round_answers += rise(totals.peer_responses, before.peer_responses);
    const auto peer_failures = rise(totals.peer_failures, before.peer_failures);
    window.totals = totals;
    window.totals_at = now;
    if (peer_failures > 0)
        return halve(window, now);
    if (window.size < totals.mean_load)
        window.above_mean_since.reset();
    else if (!window.above_mean_since)
        window.above_mean_since = now;
    else if (now - *window.above_mean_since >= above_mean_time) {
        found->second.window.reset();
        return pace_change::ended;
    }
    if (!totals.is_listed && now - window.round_began_at >= silent_round)
        window.round_answers = window.size;
    return this->finish_round(target, found->second, now);
}

void target_pace::evict(helpers::time_point now) {
    std::erase_if(this->targets,
                  [now](const auto& each) { return now - each.second.seen_at > entry_lifetime; });
}

std::optional<std::uint32_t> target_pace::window(std::uint32_t target) const {
    const auto found = this->targets.find(target);
    if (found == this->targets.end() || !found->second.window)
        return std::nullopt;
    return found->second.window->size;
}

std::size_t target_pace::open_count() const {
    return static_cast<std::size_t>(
        std::count_if(this->targets.begin(), this->targets.end(),
                      [](const auto& each) { return each.second.window.has_value(); }));
}

} // namespace samphirespool::admission
