// Builds the index and performs the look-ups.
#include "routing/route_table.hpp"

#include <algorithm>

namespace samphirespool::routing {

namespace {

std::string_view without_port(std::string_view authority) {
    return authority.substr(0, authority.find(':'));
}

} // namespace

route_table::route_table(configuration values) : config(std::move(values)) {
    for (const auto& each : this->config.routes)
        this->hosts[each.host].push_back(&each);
    for (auto& [host, routes] : this->hosts)
        std::stable_sort(routes.begin(), routes.end(), [](const route* a, const route* b) {
            return a->path_prefix.size() > b->path_prefix.size();
        });
}

const route* route_table::find_route(std::string_view authority, std::string_view path) const {
    const auto found = this->hosts.find(without_port(authority));
    if (found == this->hosts.end())
        return nullptr;
    const auto match =
        std::find_if(found->second.begin(), found->second.end(),
                     [path](const route* each) { return path.starts_with(each->path_prefix); });
    return match == found->second.end() ? nullptr : *match;
}

const api_key_owner* route_table::find_api_key(std::string_view key) const {
    const auto found = this->config.api_keys.find(std::string(key));
    return found == this->config.api_keys.end() ? nullptr : &found->second;
}

const service* route_table::find_service(helpers::service_id id) const {
    const auto found = this->config.services.find(id);
    return found == this->config.services.end() ? nullptr : &found->second;
}

helpers::service_id pick_service(const route& chosen_route, double fraction) {
    std::uint64_t total = 0;
    for (const auto& each : chosen_route.services)
        total += each.weight;
    auto remaining = fraction * static_cast<double>(total);
    for (const auto& each : chosen_route.services) {
        remaining -= each.weight;
        if (remaining < 0)
            return each.service;
    }
    return chosen_route.services.back().service;
}

} // namespace samphirespool::routing
