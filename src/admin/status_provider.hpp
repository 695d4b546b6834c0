// Interface through which the administration API gets the status of the router and its view of the
// fleet, as plain values. The router implements it.
#pragma once

#include "config/fleet_configuration.hpp"
#include "helpers/endpoint.hpp"
#include "helpers/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace samphirespool::admin {

// The router that serves the call.
struct router_status {
    std::string name;
    std::string data_centre;
    std::string region;
    std::string software_version;
    std::uint64_t incarnation = 0;
    helpers::duration uptime{};
    // Whether the load balancer may send requests to this router.
    bool ready = false;
    bool shutting_down = false;
    // Whether the last call to the object API got a reply.
    bool store_reachable = false;
    std::uint64_t requests_in_flight = 0;
    std::uint64_t requests_queued = 0;
    // Members considered alive, this router included.
    std::uint64_t members_alive = 0;
    std::uint64_t roster_version = 0;
};

struct member_status {
    std::string name;
    helpers::endpoint peer_address;
    std::string data_centre;
    std::string region;
    // Such as "ready", "suspect" or "leaving".
    std::string state;
    std::uint64_t incarnation = 0;
    // The version in force there, as last received by this router.
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
    // Whether this router may send it new requests.
    bool eligible = false;
    // Why it is not eligible, such as "data centre is leaving"; empty if it is.
    std::string reason;
    // Whether it has passed the cold ramp after its start.
    bool warm = false;
    // Most requests at a time on the target now, over the whole fleet.
    std::uint64_t capacity = 0;
    // Requests of the whole fleet in flight, as far as this router knows.
    std::uint64_t in_flight = 0;
    // Requests of this router in flight.
    std::uint64_t own_in_flight = 0;
    // Outstanding tokens that the target last reported.
    double reported_load = 0;
    // Name of the router that owns the target's shard and grants its capacity; empty if unknown.
    std::string owner;
};

class status_provider {
public:
    virtual ~status_provider() = default;
    virtual router_status status() const = 0;
    virtual std::vector<member_status> members() const = 0;
    virtual std::vector<target_status> targets() const = 0;
};

} // namespace samphirespool::admin
