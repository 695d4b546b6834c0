// The fleet's configuration as a value: services, organisations, presets, the preset in force and
// the marks on data centres and VMs. One version of it is immutable, but for leave marks that are
// in effect and not yet durable: they are added to the marks without a version of their own.
#pragma once

#include "helpers/ids.hpp"
#include "helpers/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace samphirespool::config {

using configuration_version = std::uint64_t;

enum class target_kind : std::uint8_t {
    engine,
    service,
};

struct service_definition {
    std::string name;
    target_kind kind = target_kind::engine;
    // Requests whose path starts with one of these go to this service.
    std::vector<std::string> path_prefixes;
    // Model names in the body of chat requests that this service answers.
    std::vector<std::string> models;
    // Name of a registered placement strategy.
    std::string placement = "bounded-rendezvous";
    // No target carries more than this multiple of the mean load.
    double load_multiple = 1.25;
    // Requests that one warm target bears at a time.
    std::uint32_t warm_capacity = 64;
    // Requests that a fresh target bears at a time.
    std::uint32_t cold_allowance = 2;
    helpers::duration default_deadline = std::chrono::seconds(30);
    // Methods and paths ("POST /bookings") whose calls may not be repeated.
    std::vector<std::string> non_idempotent;
    // Number of owners that share a region's targets of this service.
    std::uint32_t shards = 1;
    // Whether the targets refuse an order with an old fencing number.
    bool checks_fencing = false;

    friend bool operator==(const service_definition&, const service_definition&) = default;
};

struct organisation_definition {
    std::string name;
    // Hex SHA-256 of the API key.
    std::string api_key_hash;
    // Share of a busy service relative to other organisations.
    std::uint32_t weight = 1;
    // 0 means no limit.
    double max_requests_per_second = 0;
    std::uint32_t max_in_flight = 0;

    friend bool operator==(const organisation_definition&,
                           const organisation_definition&) = default;
};

struct preset_definition {
    std::string name;
    // Factor on each service's load_multiple.
    double load_multiple_factor = 1.0;
    // Factor on every organisation's limits.
    double limit_factor = 1.0;
    // Whether requests may go to another region when the own one is full.
    bool overflow_to_other_regions = true;
    // Retries as a share of requests.
    double retry_share = 0.1;
    // Organisation weights that differ from the definition.
    std::map<std::string, std::uint32_t> organisation_weights;

    friend bool operator==(const preset_definition&, const preset_definition&) = default;
};

enum class mark_state : std::uint8_t {
    leaving,
    returning,
};

struct mark {
    mark_state state = mark_state::leaving;
    // Wall time of the acceptance; the gradual return counts from it.
    helpers::wall_milliseconds since = 0;

    friend bool operator==(const mark&, const mark&) = default;
};

struct fleet_configuration {
    configuration_version version = 0;
    std::map<std::string, service_definition, std::less<>> services;
    std::map<std::string, organisation_definition, std::less<>> organisations;
    // Invariant: exactly the presets ordinary, peak and maintenance.
    std::map<std::string, preset_definition, std::less<>> presets;
    // Invariant: names a member of presets.
    std::string preset_in_force = "ordinary";
    std::map<std::string, mark, std::less<>> data_centre_marks;
    std::map<std::string, mark, std::less<>> vm_marks;

    const preset_definition& preset() const { return this->presets.at(this->preset_in_force); }
};

} // namespace samphirespool::config
