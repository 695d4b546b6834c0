// The members of the fleet as routers know them.
#pragma once

#include "config/fleet_configuration.hpp"
#include "helpers/endpoint.hpp"
#include "helpers/ids.hpp"
#include "helpers/time.hpp"

#include <cstdint>
#include <string>

namespace samphirespool::membership {

// Lifecycle state, set by the router itself.
enum class member_state : std::uint8_t {
    joining,
    ready,
    leaving,
};

// Health as the fleet sees it. The order is the precedence between records of the same incarnation
// and sequence.
enum class member_health : std::uint8_t {
    alive,
    suspect,
    dead,
    // The process has certainly stopped: its VM refused the connection or is no longer listed. Its
    // connections to targets were closed with it.
    stopped,
    // The router announced its exit, after it handed over all duties.
    left,
};

// The state of one router at one time. Of two records the later incarnation wins, then the higher
// sequence, then the worse health. Only the router itself raises its sequence.
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

// Whether the received record replaces the known one.
bool supersedes(const member_record& received, const member_record& known);

struct member {
    member_record record;
    // Highest configuration version in the router's own messages.
    config::configuration_version configuration = 0;
    // When the record got its present health.
    helpers::time_point health_since;

    bool is_live() const {
        return this->record.health == member_health::alive ||
               this->record.health == member_health::suspect;
    }
};

} // namespace samphirespool::membership
