// Builds the index and looks routes up.
#include "routing/route_table.hpp"

#include <algorithm>

namespace samphirespool::routing {

namespace {

std::string_view without_port(std::string_view authority) {
    return authority.substr(0, authority.find(':'));
}

} // namespace

route_table::route_table(configuration values) : given(std::move(values)) {
    for (const auto& each : this->given.routes)
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

const key_holder* route_table::find_key(std::string_view key) const {
    const auto found = this->given.keys.find(std::string(key));
    return found == this->given.keys.end() ? nullptr : &found->second;
}

const service* route_table::find_service(helpers::service_id id) const {
    const auto found = this->given.services.find(id);
    return found == this->given.services.end() ? nullptr : &found->second;
}

helpers::service_id pick_service(const route& from, double fraction) {
    std::uint64_t total = 0;
    for (const auto& each : from.services)
        total += each.weight;
    auto left = fraction * static_cast<double>(total);
    for (const auto& each : from.services) {
        left -= each.weight;
        if (left < 0)
            return each.service;
    }
    return from.services.back().service;
}

} // namespace samphirespool::routing
