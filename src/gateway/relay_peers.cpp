// Choice of peers and their backoff.
#include "gateway/relay_peers.hpp"

#include <algorithm>
#include <utility>

namespace samphirespool::gateway {

namespace {

// Gateways lose their paths for seconds, and a refused request costs a round trip only.
constexpr helpers::duration initial_backoff = std::chrono::milliseconds(500);
constexpr helpers::duration max_backoff = std::chrono::seconds(4);

} // namespace

void relay_peers::backoff::renew(helpers::time_point now) {
    this->time = std::clamp(this->time * 2, initial_backoff, max_backoff);
    this->until = now + this->time;
}

void relay_peers::set_members(std::span<const exchange::member> members) {
    auto former = std::exchange(this->peers, {});
    for (const auto& each : members) {
        if (each.name == this->self || each.relay_address.port == 0)
            continue;
        auto& state = this->peers[each.name];
        if (const auto found = former.find(each.name); found != former.end())
            state = std::move(found->second);
        state.address = each.relay_address;
    }
}

bool relay_peers::is_candidate(const std::string& name, const peer_state& state,
                               helpers::service_id service, std::span<const std::string> tried,
                               helpers::time_point now) const {
    if (now < state.unreachable.until || std::find(tried.begin(), tried.end(), name) != tried.end())
        return false;
    const auto refused = state.refused.find(service);
    return refused == state.refused.end() || now >= refused->second.until;
}

bool relay_peers::has_candidate(helpers::service_id service, std::span<const std::string> tried,
                                helpers::time_point now) const {
    return std::any_of(this->peers.begin(), this->peers.end(), [&](const auto& each) {
        return this->is_candidate(each.first, each.second, service, tried, now);
    });
}

std::optional<relay_peer> relay_peers::choose(helpers::service_id service,
                                              std::span<const std::string> tried,
                                              helpers::time_point now) {
    std::vector<const std::pair<const std::string, peer_state>*> candidates;
    for (const auto& each : this->peers)
        if (this->is_candidate(each.first, each.second, service, tried, now))
            candidates.push_back(&each);
    if (candidates.empty())
        return std::nullopt;
    const auto* first = candidates[this->random.below(candidates.size())];
    const auto* second = candidates[this->random.below(candidates.size())];
    const auto* chosen = second->second.in_progress < first->second.in_progress ? second : first;
    return relay_peer{chosen->first, chosen->second.address};
}

void relay_peers::on_started(const std::string& peer) {
    if (const auto found = this->peers.find(peer); found != this->peers.end())
        ++found->second.in_progress;
}

void relay_peers::on_finished(const std::string& peer) {
    const auto found = this->peers.find(peer);
    // A peer that left the member list and returned has lost its count.
    if (found != this->peers.end() && found->second.in_progress > 0)
        --found->second.in_progress;
}

void relay_peers::on_refused(const std::string& peer, helpers::service_id service,
                             helpers::time_point now) {
    if (const auto found = this->peers.find(peer); found != this->peers.end())
        found->second.refused[service].renew(now);
}

void relay_peers::on_unreachable(const std::string& peer, helpers::time_point now) {
    if (const auto found = this->peers.find(peer); found != this->peers.end())
        found->second.unreachable.renew(now);
}

void relay_peers::on_served(const std::string& peer, helpers::service_id service) {
    const auto found = this->peers.find(peer);
    if (found == this->peers.end())
        return;
    found->second.unreachable = {};
    found->second.refused.erase(service);
}

std::size_t relay_peers::in_progress() const {
    std::size_t sum = 0;
    for (const auto& [name, state] : this->peers)
        sum += state.in_progress;
    return sum;
}

} // namespace samphirespool::gateway
