// Messages of the failure detector and the roster manager, and the interface that sends them.
#pragma once

#include "membership/member.hpp"

#include <vector>

namespace samphirespool::membership {

enum class message_type : std::uint8_t {
    ping,
    // Requests that the receiver ping `target` and forward the ack.
    ping_request,
    ack,
    // Requests the receiver's full table.
    sync_request,
    // Some of the sender's records; a full table may take several messages.
    sync,
    // The region's roster as text, and the confirmation that a version of it was adopted.
    roster,
    roster_ack,
};

struct message {
    message_type type = message_type::ping;
    helpers::router_id sender;
    // Pairs an ack with its ping; in the two roster messages, the roster's version.
    std::uint64_t number = 0;
    // In a ping_request the router to ping; in an ack target_id is the router that is alive.
    helpers::endpoint target;
    helpers::router_id target_id;
    // Configuration version of the sender.
    config::configuration_version configuration = 0;
    // Hash over all records of the sender; 0 if the message carries none.
    std::uint64_t digest = 0;
    std::vector<member_record> updates;
    // Of message_type::roster.
    std::string roster;
};

// Sends messages to members, without a delivery guarantee.
class message_outbox {
public:
    virtual ~message_outbox() = default;
    virtual void send(const helpers::endpoint& to, const message& content) = 0;
};

} // namespace samphirespool::membership
