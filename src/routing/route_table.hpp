// One version of the configuration, indexed by host, path and API key.
#pragma once

#include "kernel/error.hpp"
#include "routing/configuration.hpp"

#include <functional>
#include <string_view>

namespace samphirespool::routing {

class route_table {
public:
    explicit route_table(configuration config);

    const configuration& values() const { return this->config; }

    // Returns the host's route with the longest prefix of the path, or null. A port in the
    // authority is ignored.
    const route* find_route(std::string_view authority, std::string_view path) const;

    // Returns null if the API key is unknown.
    const api_key_owner* find_api_key(std::string_view key) const;

    // Returns null if the service is not configured.
    const service* find_service(helpers::service_id id) const;

private:
    struct text_hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const {
            return std::hash<std::string_view>()(text);
        }
    };

    configuration config;
    // Invariant: each host's routes are sorted by prefix length, longest first.
    std::unordered_map<std::string, std::vector<const route*>, text_hash, std::equal_to<>> hosts;
};

// Selects one of the route's services by weight. `fraction` is a uniform random number in [0, 1).
helpers::service_id pick_service(const route& chosen_route, double fraction);

} // namespace samphirespool::routing
