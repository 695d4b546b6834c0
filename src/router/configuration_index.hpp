// One version of the configuration, indexed for requests: organisations by API key, services by
// path and model. Built once per version and shared by the requests that it applies to.
#pragma once

#include "config/fleet_configuration.hpp"
#include "helpers/ids.hpp"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace samphirespool::router {

struct indexed_organisation {
    helpers::organisation_id id;
    const config::organisation_definition* definition = nullptr;
};

struct indexed_service {
    helpers::service_id id;
    const config::service_definition* definition = nullptr;
};

class configuration_index {
public:
    explicit configuration_index(std::shared_ptr<const config::fleet_configuration> configuration);

    const config::fleet_configuration& configuration() const { return *this->source; }

    // Null if no organisation has the key.
    const indexed_organisation* organisation_by_key(std::string_view api_key) const;

    // The longest matching prefix wins. Null if none matches.
    const indexed_service* service_by_path(std::string_view path) const;
    const indexed_service* service_by_model(std::string_view model) const;
    const std::vector<indexed_service>& services() const { return this->all_services; }

private:
    struct route {
        std::string prefix;
        // Index into all_services.
        std::size_t service;
    };

    // Definitions and keys of the index point into it.
    std::shared_ptr<const config::fleet_configuration> source;
    std::vector<indexed_service> all_services;
    // By hex SHA-256 of the key.
    std::unordered_map<std::string_view, indexed_organisation> organisations;
    // Longest prefix first.
    std::vector<route> routes;
    // Model to index into all_services.
    std::unordered_map<std::string_view, std::size_t> models;
};

// Lower-case hex.
std::string sha256_hex(std::string_view text);

// Whether the service lists the call as one that must not be retried. An entry such as
// "POST /bookings" covers the path itself and every path below it.
bool is_non_idempotent(const config::service_definition& service, std::string_view method,
                       std::string_view path);

} // namespace samphirespool::router
