// Divides the slots of brittle targets, and spaces rejections.
#include "admission/brittle_services.hpp"

#include "admission/member_rank.hpp"

#include <algorithm>
#include <charconv>

namespace samphirespool::admission {

namespace {

// Rejections of all gateways stay below this part (1/n) of what a target bears.
constexpr std::uint32_t rejection_margin = 2;
constexpr helpers::duration min_pause = std::chrono::seconds(1);
constexpr helpers::duration max_pause = std::chrono::seconds(10);

} // namespace

std::optional<std::uint32_t> parse_rejection_limit(std::string_view text) {
    std::uint32_t limit = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, limit);
    return !text.empty() && parsed.ec == std::errc() && parsed.ptr == end ? std::optional(limit)
                                                                          : std::nullopt;
}

bool brittle_services::on_response(helpers::service_id service, std::optional<std::uint32_t> limit,
                                   helpers::time_point now) {
    const auto found = this->services.find(service);
    if (!limit) {
        if (found != this->services.end() && now - found->second.said_at > settling_time)
            this->services.erase(found);
        return false;
    }
    this->services[service] = {*limit, now, now + trial_interval};
    return found == this->services.end();
}

void brittle_services::on_sent(helpers::service_id service, helpers::time_point now) {
    const auto found = this->services.find(service);
    if (found != this->services.end() && now >= found->second.next_trial)
        found->second.next_trial = now + trial_interval;
}

void brittle_services::on_rejection(helpers::service_id service, target_id target,
                                    helpers::time_point now) {
    std::erase_if(this->rejected_until, [now](const auto& each) { return now >= each.second; });
    const auto found = this->services.find(service);
    if (found == this->services.end())
        return;
    // Each of the gateways causes one rejection in this time.
    const auto allowed = std::max(1U, found->second.limit / rejection_margin);
    const auto pause = std::chrono::duration_cast<helpers::duration>(
        std::chrono::duration<double>(static_cast<double>(this->members.size()) / allowed));
    this->rejected_until[target] = now + std::clamp(pause, min_pause, max_pause);
}

std::uint32_t brittle_services::part_of(std::string_view target, std::uint32_t slots) const {
    const auto count = static_cast<std::uint32_t>(this->members.size());
    if (count == 0)
        return 0;
    const auto rank = rank_among(this->members, this->self, target);
    return slots / count + (rank < slots % count ? 1 : 0);
}

bool brittle_services::may_send(helpers::service_id service, target_id target,
                                std::string_view name, std::uint32_t slots, std::uint32_t own,
                                helpers::time_point now) const {
    const auto found = this->services.find(service);
    if (found == this->services.end() || now >= found->second.next_trial)
        return true;
    const auto rejected = this->rejected_until.find(target);
    const bool is_paused = rejected != this->rejected_until.end() && now < rejected->second;
    return !is_paused && own < this->part_of(name, slots);
}

} // namespace samphirespool::admission
