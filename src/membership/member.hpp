// What routers know of each other.
#pragma once

#include "config/fleet_configuration.hpp"
#include "helpers/endpoint.hpp"
#include "helpers/ids.hpp"
#include "helpers/time.hpp"

#include <cstdint>
#include <string>

namespace samphirespool::membership {

// What the router says of itself.
enum class member_state : std::uint8_t {
    joining,
    ready,
    leaving,
};

// What the fleet believes. The order is the precedence between records of the same age.
enum class member_health : std::uint8_t {
    alive,
    suspect,
    dead,
    // The process is over for certain: its VM refused the connection or is no longer listed. Its
    // connections to targets ended with it.
    stopped,
    // Over by its own word, after it handed everything over.
    left,
};

// One statement about a router. Of two records the later life wins, then the higher sequence, then
// the worse health. Only the router itself raises its sequence.
struct member_record {
    helpers::router_id id;
    std::string name;
    helpers::endpoint address;
    std::string data_centre;
    std::string region;
    helpers::incarnation incarnation;
    std::uint32_t sequence = 0;
    member_state state = member_state::joining;
    member_health health = member_health::alive;

    friend bool operator==(const member_record&, const member_record&) = default;
};

// Whether the first record replaces the second.
bool supersedes(const member_record& fresh, const member_record& known);

struct member {
    member_record record;
    // Configuration version that the router reported when it was last heard of directly.
    config::configuration_version configuration = 0;
    // Since when the record has its health.
    helpers::time_point health_since;

    bool is_live() const {
        return this->record.health == member_health::alive ||
               this->record.health == member_health::suspect;
    }
};

} // namespace samphirespool::membership
