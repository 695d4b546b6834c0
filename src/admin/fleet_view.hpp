// What the administration API shows of the fleet, as plain values. The router implements it.
#pragma once

#include "config/fleet_configuration.hpp"
#include "helpers/endpoint.hpp"
#include "helpers/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace samphirespool::admin {

// The router that answers.
struct own_status {
    std::string name;
    std::string data_centre;
    std::string region;
    std::string software_version;
    std::uint64_t incarnation = 0;
    helpers::duration uptime{};
    // Whether the balancer may send requests here.
    bool ready = false;
    bool shutting_down = false;
    // Whether the last call of the object API was answered.
    bool store_reachable = false;
    std::uint64_t requests_in_flight = 0;
    std::uint64_t requests_queued = 0;
    // Members known to be alive, this router included.
    std::uint64_t members_alive = 0;
    std::uint64_t roster_version = 0;
};

struct member_status {
    std::string name;
    helpers::endpoint peer_address;
    std::string data_centre;
    std::string region;
    // A word such as alive, suspect or leaving.
    std::string state;
    std::uint64_t incarnation = 0;
    // What this router last heard to be in force there.
    config::configuration_version configuration_version = 0;
};

struct target_status {
    std::string name;
    std::string service;
    std::string vm;
    std::string data_centre;
    std::string region;
    helpers::endpoint address;
    std::uint64_t incarnation = 0;
    // Whether it may receive new work from here.
    bool eligible = false;
    // Why not, such as "data centre is leaving"; empty if it may.
    std::string reason;
    bool warm = false;
    // Requests that the target bears at a time now, in the whole fleet.
    std::uint64_t capacity = 0;
    // Requests of the fleet, as far as this router knows.
    std::uint64_t in_flight = 0;
    // Requests of this router alone.
    std::uint64_t own_in_flight = 0;
    // As the target last reported it.
    double reported_load = 0;
    // Name of the router that grants its capacity; empty if none is known.
    std::string owner;
};

class fleet_view {
public:
    virtual ~fleet_view() = default;
    virtual own_status status() const = 0;
    virtual std::vector<member_status> members() const = 0;
    virtual std::vector<target_status> targets() const = 0;
};

} // namespace samphirespool::admin
