// The fleet's configuration as a value: services, organisations, presets, the preset in force and
// the marks on data centres and VMs. A version is immutable, except for leave marks that are in
// effect but not yet durable: they are added to the marks without a new version.
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
    // Inference engine.
    engine,
    // Any other back end.
    service,
};

// A group of equivalent targets and how requests are routed to it.
struct service_definition {
    std::string name;
    target_kind kind = target_kind::engine;
    // Requests whose path starts with one of these go to this service.
    std::vector<std::string> path_prefixes;
    // Chat requests for one of these models go to this service.
    std::vector<std::string> models;
    // Name of a registered placement strategy.
    std::string placement = "bounded-rendezvous";
    // Upper bound on a target's load as a multiple of the mean load.
    double load_multiple = 1.25;
    // Maximum number of concurrent requests of a warm target.
    std::uint32_t warm_capacity = 64;
    // Maximum number of concurrent requests of a target that has just started.
    std::uint32_t cold_allowance = 2;
    helpers::duration default_deadline = std::chrono::seconds(30);
    // Methods and paths ("POST /bookings") of calls that must not be retried.
    std::vector<std::string> non_idempotent;
    // Number of owners among which a region's targets of this service are divided.
    std::uint32_t shards = 1;
    // Whether the targets reject an order with an old fencing token.
    bool checks_fencing = false;

    friend bool operator==(const service_definition&, const service_definition&) = default;
};

// A group of callers that share an API key, with its limits.
struct organisation_definition {
    std::string name;
    // Hex SHA-256 of the API key.
    std::string api_key_hash;
    // Share of a saturated service relative to other organisations.
    std::uint32_t weight = 1;
    // 0 means no limit.
    double max_requests_per_second = 0;
    std::uint32_t max_in_flight = 0;

    friend bool operator==(const organisation_definition&,
                           const organisation_definition&) = default;
};

// A named set of adjustments that applies to the whole fleet while it is in force.
struct preset_definition {
    std::string name;
    // Multiplies each service's load_multiple.
    double load_multiple_factor = 1.0;
    // Multiplies every organisation's limits.
    double limit_factor = 1.0;
    // Whether requests may go to another region when their own has no free capacity.
    bool overflow_to_other_regions = true;
    // Limit on retries as a share of requests.
    double retry_share = 0.1;
    // Overrides organisation_definition::weight for these organisations.
    std::map<std::string, std::uint32_t> organisation_weights;

    friend bool operator==(const preset_definition&, const preset_definition&) = default;
};

enum class mark_state : std::uint8_t {
    // Draining or drained: gets no new requests.
    leaving,
    // In service again; its share of requests grows gradually.
    returning,
};

// An operator's mark on a data centre or VM.
struct mark {
    mark_state state = mark_state::leaving;
    // Wall time at which the state was set; the gradual return is measured from it.
    helpers::wall_milliseconds since = 0;

    friend bool operator==(const mark&, const mark&) = default;
};

struct fleet_configuration {
    configuration_version version = 0;
    std::map<std::string, service_definition, std::less<>> services;
    std::map<std::string, organisation_definition, std::less<>> organisations;
    // Invariant: exactly the presets ordinary, peak and maintenance.
    std::map<std::string, preset_definition, std::less<>> presets;
    // Invariant: a key of presets.
    std::string preset_in_force = "ordinary";
    std::map<std::string, mark, std::less<>> data_centre_marks;
    std::map<std::string, mark, std::less<>> vm_marks;

    const preset_definition& preset() const { return this->presets.at(this->preset_in_force); }
};

} // namespace samphirespool::config
