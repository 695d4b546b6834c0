// Messages of the share leases. One message carries everything that a router has to tell another
// in one turn of its loop.
//
// Times in messages are readings of the owner's clock that come back to it as they are; durations
// are counted from the receipt.
#pragma once

#include "admission/reservation.hpp"
#include "helpers/endpoint.hpp"
#include "ownership/shard.hpp"

#include <cstdint>
#include <vector>

namespace samphirespool::ownership {

// Names a reservation together with the life of the router that made it.
using reservation_number = std::uint64_t;

// A granted reservation that has not ended.
struct outstanding_grant {
    helpers::router_id requester;
    reservation_number number = 0;
    helpers::target_id target;
    std::uint64_t incarnation = 0;
    std::uint32_t cost = 0;
    // What the target bore at a time when this was granted.
    std::uint32_t allowance = 0;
    helpers::duration remaining{};
    // Held for a router that is no member of the region's roster.
    bool sponsored = false;
};

// The sender wants to follow the receiver.
struct follow_item {
    shard_id shard;
};

struct challenge_item {
    shard_id shard;
    helpers::time_point time;
    bool register_again = false;
    // Load of the warm targets of this shard, for the mean of the service.
    std::uint64_t load_tokens = 0;
    std::uint32_t warm_targets = 0;
};

// Answers a challenge: the sender lends its shares to the receiver and follows no one else for
// share_timing::lease.
struct promise_item {
    shard_id shard;
    helpers::time_point time;
    // This and what follows, but for count and hash, travels in registrations only.
    helpers::incarnation owner_incarnation;
    // Whether `records` lists all that the sender knows.
    bool registers = false;
    // The sender followed no one else since it last registered with this owner.
    bool continuous = false;
    // The sender has run for as long as it may know of grants that others forgot.
    bool has_full_history = false;
    // For how long its shares may still be in use by others that the sender does not know.
    helpers::duration encumbered{};
    // Number of own outstanding reservations and sum of their hashed numbers.
    std::uint32_t count = 0;
    std::uint64_t hash = 0;
    std::vector<outstanding_grant> records;
};

struct unfollow_item {
    shard_id shard;
};

// The sender no longer counts on shares lent before `time`.
struct released_item {
    shard_id shard;
    helpers::time_point time;
};

struct reserve_item {
    shard_id shard;
    reservation_number number = 0;
    std::uint32_t cost = 1;
    helpers::duration remaining{};
    bool may_wait = true;
    // To a member that reserves for the sender.
    bool sponsored = false;
    std::vector<helpers::target_id> candidates;
    admission::reservation_hints hints;
};

struct grant_item {
    shard_id shard;
    reservation_number number = 0;
    helpers::target_id target;
    helpers::time_point time;
    std::uint64_t incarnation = 0;
    std::uint32_t allowance = 0;
    bool sponsored = false;
};

// No candidate has room.
struct no_capacity_item {
    shard_id shard;
    reservation_number number = 0;
    // Whether the request waits at the owner.
    bool queued = false;
    bool sponsored = false;
};

// Ends a reservation, granted or not.
struct finish_item {
    shard_id shard;
    reservation_number number = 0;
    admission::release::result result = admission::release::result::success;
    helpers::duration first_byte{};
    bool sponsored = false;
};

struct witness_item {
    shard_id shard;
    outstanding_grant record;
};

struct witness_reply_item {
    shard_id shard;
    helpers::router_id requester;
    reservation_number number = 0;
    bool accepted = false;
};

struct witness_drop_item {
    shard_id shard;
    helpers::router_id requester;
    reservation_number number = 0;
};

struct share_message {
    helpers::router_id sender;
    helpers::incarnation incarnation;
    std::vector<follow_item> follows;
    std::vector<challenge_item> challenges;
    std::vector<promise_item> promises;
    std::vector<unfollow_item> unfollows;
    std::vector<released_item> released;
    std::vector<reserve_item> reserves;
    std::vector<grant_item> grants;
    std::vector<no_capacity_item> no_capacity;
    std::vector<finish_item> finishes;
    std::vector<witness_item> witnesses;
    std::vector<witness_reply_item> witness_replies;
    std::vector<witness_drop_item> witness_drops;
};

// Sends to a router of the fleet; loses the message if the router is unknown.
class share_outbox {
public:
    virtual ~share_outbox() = default;
    virtual void send(const helpers::endpoint& to, const share_message& content) = 0;
};

// Collects what one turn of the loop has for each router, this one included.
class share_mailbox {
public:
    virtual ~share_mailbox() = default;
    virtual share_message& to(helpers::router_id receiver) = 0;
};

} // namespace samphirespool::ownership
