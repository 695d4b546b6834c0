// When a version is forgotten.
#include "exchange/version_history.hpp"

#include <algorithm>

namespace samphirespool::exchange {

namespace {

// Services come back after a faulty configuration within minutes.
constexpr helpers::duration unobserved_lifetime = std::chrono::minutes(10);

} // namespace

void version_history::load(const version_lists& listed, helpers::time_point now) {
    for (const auto& [service, versions] : listed) {
        auto& entry = this->services[service];
        entry.observed_at = now;
        for (const auto version : versions)
            entry.last_seen[version] = now;
    }
}

void version_history::observe(std::uint64_t service, const std::set<std::uint32_t>& serving,
                              helpers::duration stream_lifetime, helpers::time_point now) {
    if (serving.empty() && !this->services.contains(service))
        return;
    auto& entry = this->services[service];
    entry.observed_at = now;
    // A shorter limit does not apply to the streams that have begun before.
    entry.stream_lifetime = std::max(entry.stream_lifetime, stream_lifetime);
    for (const auto version : serving)
        entry.last_seen[version] = now;
    // While nothing serves, the last versions are all that is known.
    if (!serving.empty())
        std::erase_if(entry.last_seen,
                      [&](const auto& each) { return now - each.second > entry.stream_lifetime; });
}

void version_history::expire(helpers::time_point now) {
    std::erase_if(this->services, [now](const auto& each) {
        return now - each.second.observed_at > unobserved_lifetime;
    });
}

std::set<std::uint32_t> version_history::versions(std::uint64_t service) const {
    std::set<std::uint32_t> result;
    if (const auto found = this->services.find(service); found != this->services.end())
        for (const auto& [version, seen_at] : found->second.last_seen)
            result.insert(version);
    return result;
}

version_lists version_history::all() const {
    version_lists result;
    for (const auto& [service, entry] : this->services)
        result.emplace(service, this->versions(service));
    return result;
}

std::set<std::uint32_t> version_history::versions_of_mixed_services() const {
    std::set<std::uint32_t> result;
    for (const auto& [service, entry] : this->services)
        if (entry.last_seen.size() > 1)
            result.merge(this->versions(service));
    return result;
}

std::size_t version_history::mixed_service_count() const {
    return static_cast<std::size_t>(
        std::count_if(this->services.begin(), this->services.end(),
                      [](const auto& each) { return each.second.last_seen.size() > 1; }));
}

} // namespace samphirespool::exchange
