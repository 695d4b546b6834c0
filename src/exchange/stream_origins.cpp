// Records, lookups and their messages.
#include "exchange/stream_origins.hpp"

#include "helpers/ids.hpp"

#include <algorithm>

namespace samphirespool::exchange {

namespace {

// New streams are repeated in the reports of this time, some of which may be lost.
constexpr helpers::duration news_lifetime = std::chrono::milliseconds(400);
// A lookup survives the loss of a hub. The caller waits meanwhile.
constexpr helpers::duration max_lookup_time = std::chrono::milliseconds(900);
// The outcome of a lookup holds for the requests that wait for it, which ask every 20 ms. A later
// attempt of the caller begins another one.
constexpr helpers::duration max_outcome_age = max_lookup_time + std::chrono::milliseconds(100);
// The first may have crossed the report of the gateway where the stream began.
constexpr std::uint32_t sufficient_negative_answers = 2;
constexpr std::size_t max_lookups = 256;
// In one message, the latest ones.
constexpr std::size_t max_news = 4096;

} // namespace

void stream_origins::record(std::string_view attempt, std::uint32_t software,
                            helpers::time_point now) {
    this->store(helpers::hash_name(attempt), {software, true, now}, now);
    if (this->record_handler)
        this->record_handler();
}

void stream_origins::store(std::uint64_t attempt, const origin& added, helpers::time_point now) {
    this->origins.insert_or_assign(attempt, added);
    this->order.emplace_back(now, attempt);
    this->lookups.erase(attempt);
    this->evict(now);
}

void stream_origins::evict(helpers::time_point now) {
    while (!this->order.empty() &&
           (now - this->order.front().first > lifetime || this->order.size() > max_origins)) {
        const auto [recorded_at, attempt] = this->order.front();
        this->order.pop_front();
        ++this->first_position;
        const auto found = this->origins.find(attempt);
        if (found != this->origins.end() && found->second.recorded_at == recorded_at)
            this->origins.erase(found);
    }
}

std::optional<std::uint32_t> stream_origins::find(std::string_view attempt) const {
    const auto found = this->origins.find(helpers::hash_name(attempt));
    return found == this->origins.end() ? std::nullopt : std::optional(found->second.software);
}

bool stream_origins::lookup::is_open(helpers::time_point now) const {
    return this->negative_answers < sufficient_negative_answers &&
           now - this->started_at <= max_lookup_time;
}

void stream_origins::look_up(std::string_view attempt, helpers::time_point now,
                             std::uint64_t service) {
    std::erase_if(this->lookups, [now](const auto& entry) {
        return now - entry.second.started_at > max_outcome_age;
    });
    if (this->lookups.size() < max_lookups)
        this->lookups.try_emplace(helpers::hash_name(attempt), lookup{now, 0, service});
}

bool stream_origins::is_unknown(std::string_view attempt, helpers::time_point now) const {
    const auto found = this->lookups.find(helpers::hash_name(attempt));
    return found != this->lookups.end() && now - found->second.started_at <= max_outcome_age &&
           !found->second.is_open(now);
}

bool stream_origins::is_lost(std::string_view attempt) const {
    const auto found = this->lookups.find(helpers::hash_name(attempt));
    return found != this->lookups.end() &&
           found->second.negative_answers >= sufficient_negative_answers;
}

stream_origin_list stream_origins::news(helpers::time_point now, bool all) const {
    stream_origin_list result;
    for (auto each = this->order.rbegin(); each != this->order.rend(); ++each) {
        const auto& [recorded_at, attempt] = *each;
        if (result.size() >= max_news || (!all && now - recorded_at > news_lifetime))
            break;
        const auto found = this->origins.find(attempt);
        if (found != this->origins.end() && found->second.is_own_group &&
            found->second.recorded_at == recorded_at)
            result.push_back({attempt, found->second.software});
    }
    return result;
}

std::vector<std::uint64_t> stream_origins::wanted(helpers::time_point now) const {
    std::vector<std::uint64_t> result;
    for (const auto& [attempt, each] : this->lookups)
        if (each.is_open(now))
            result.push_back(attempt);
    return result;
}

std::vector<std::uint64_t> stream_origins::wanted_services(helpers::time_point now) const {
    std::vector<std::uint64_t> result;
    for (const auto& [attempt, each] : this->lookups)
        if (each.is_open(now))
            result.push_back(each.service);
    return result;
}

std::optional<std::uint32_t> stream_origins::answer(std::uint64_t attempt, std::uint64_t service,
                                                    helpers::time_point now) const {
    const auto found = this->origins.find(attempt);
    if (found != this->origins.end())
        return found->second.software;
    return this->archive == nullptr ? 0 : this->archive->origin_of(attempt, service, now);
}

stream_origin_list stream_origins::answers(const std::vector<std::uint64_t>& attempts,
                                           const std::vector<std::uint64_t>& services,
                                           helpers::time_point now) const {
    stream_origin_list result;
    for (std::size_t i = 0; i < attempts.size(); ++i) {
        const auto service = i < services.size() ? services[i] : 0;
        if (const auto software = this->answer(attempts[i], service, now))
            result.push_back({attempts[i], *software});
    }
    return result;
}

stream_origin_list stream_origins::own_since(std::uint64_t& position) const {
    stream_origin_list result;
    const auto skipped = position > this->first_position ? position - this->first_position : 0;
    for (auto i = static_cast<std::size_t>(skipped); i < this->order.size(); ++i) {
        const auto& [recorded_at, attempt] = this->order[i];
        const auto found = this->origins.find(attempt);
        if (found != this->origins.end() && found->second.is_own_group &&
            found->second.recorded_at == recorded_at)
            result.push_back({attempt, found->second.software});
    }
    position = this->first_position + this->order.size();
    return result;
}

void stream_origins::merge(const stream_origin_list& received, bool is_own_group,
                           helpers::time_point now) {
    for (const auto& each : received) {
        const auto asked = this->lookups.find(each.attempt);
        if (each.software == 0) {
            if (asked != this->lookups.end())
                ++asked->second.negative_answers;
            continue;
        }
        const auto known = this->origins.find(each.attempt);
        const bool is_news =
            known == this->origins.end() || (is_own_group && !known->second.is_own_group);
        if (is_news)
            this->store(each.attempt, {each.software, is_own_group, now}, now);
    }
}

void stream_origins::on_round_without_hub(helpers::time_point now) {
    this->merge(this->answers(this->wanted(now), this->wanted_services(now), now), false, now);
}

} // namespace samphirespool::exchange
