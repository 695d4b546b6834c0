// Messages of the failure detector, and the way out for them.
#pragma once

#include "membership/member.hpp"

#include <vector>

namespace samphirespool::membership {

enum class message_type : std::uint8_t {
    ping,
    // Asks the receiver to ping `target` and to pass the acknowledgement on.
    ping_request,
    ack,
    sync_request,
    // A part of all that the sender knows.
    sync,
    // The region's roster as text, and the confirmation that a version of it was adopted.
    roster,
    roster_ack,
};

struct message {
    message_type type = message_type::ping;
    helpers::router_id sender;
    // Pairs an ack with its ping; the roster's version in the two roster messages.
    std::uint64_t number = 0;
    // Of a ping_request: whom to ping. Of an ack: who is alive.
    helpers::endpoint target;
    helpers::router_id target_id;
    config::configuration_version configuration = 0;
    // Hash over all records the sender knows; 0 in messages without it.
    std::uint64_t digest = 0;
    std::vector<member_record> updates;
    std::string roster;
};

class message_outbox {
public:
    virtual ~message_outbox() = default;
    virtual void send(const helpers::endpoint& to, const message& content) = 0;
};

} // namespace samphirespool::membership
