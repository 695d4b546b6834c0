// Messages of the share leases. Each member of the region's roster has a share of a shard's
// capacity. The members, as followers, lend their shares to the shard's owner for the length of a
// lease; the owner grants reservations out of the shares that are lent to it.
//
// One message carries everything that a router sends to another router in one loop iteration. Time
// points in messages are readings of the owner's clock, which followers send back unchanged;
// durations are counted from the receipt of the message.
#pragma once

#include "admission/reservation.hpp"
#include "helpers/endpoint.hpp"
#include "ownership/shard.hpp"

#include <cstdint>
#include <vector>

namespace samphirespool::ownership {

// Identifies a reservation among those of one router. Two incarnations of a router use different
// numbers.
using reservation_number = std::uint64_t;

// A granted reservation whose request has not finished.
struct outstanding_grant {
    helpers::router_id requester;
    reservation_number number = 0;
    helpers::target_id target;
    // Incarnation of the target.
    std::uint64_t incarnation = 0;
    // In tokens.
    std::uint32_t cost = 0;
    // Concurrent requests that the target was allowed when this was granted.
    std::uint32_t allowance = 0;
    // Time until the grant expires.
    helpers::duration remaining{};
    // The requester is a sponsor that holds it for a router outside the region's roster.
    bool sponsored = false;
};

// Follower to owner: the sender wants to follow the receiver, which replies with a challenge.
struct follow_item {
    shard_id shard;
};

// Owner to follower: requests a promise that carries `time` back.
struct challenge_item {
    shard_id shard;
    helpers::time_point time;
    // Requests a full registration instead of a renewal.
    bool register_again = false;
    // Load of this shard's warm targets; owners of the service's other shards need it to compute
    // the mean load.
    std::uint64_t load_tokens = 0;
    std::uint32_t warm_targets = 0;
};

// Reply to a challenge: the sender lends its share to the receiver and follows no other owner for
// share_timing::lease. The first promise to an owner is a registration, the next ones renew it.
struct promise_item {
    shard_id shard;
    helpers::time_point time;
    // This field and all later ones except count and hash are sent in registrations only.
    helpers::incarnation owner_incarnation;
    // The promise is a registration: `records` lists every grant that the sender knows.
    bool registers = false;
    // The sender followed no other owner since it last registered with this one.
    bool continuous = false;
    // The sender has run for longer than any grant lasts, or is the incarnation that the roster
    // lists, so it knows every outstanding grant to which this router was a party.
    bool has_full_history = false;
    // How long the sender's share stays encumbered: it may be in use by grants of earlier owners
    // that the sender does not know.
    helpers::duration encumbered{};
    // Number of the sender's own outstanding grants and sum of their hashed numbers. The owner
    // compares both with its records.
    std::uint32_t count = 0;
    std::uint64_t hash = 0;
    std::vector<outstanding_grant> records;
};

// Follower to owner: requests the release of the sender's share.
struct unfollow_item {
    shard_id shard;
};

// Owner to follower: the sender no longer uses shares lent before `time`.
struct released_item {
    shard_id shard;
    helpers::time_point time;
};

// Follower to owner: requests a grant on one of the candidates.
struct reserve_item {
    shard_id shard;
    reservation_number number = 0;
    // In tokens.
    std::uint32_t cost = 1;
    // Time until the request's deadline.
    helpers::duration remaining{};
    // The owner may queue the request if no candidate has capacity.
    bool may_wait = true;
    // The sender is outside the region's roster and the receiver is its sponsor, or the sender is
    // the sponsor and the receiver the owner.
    bool sponsored = false;
    // In order of preference.
    std::vector<helpers::target_id> candidates;
    admission::reservation_hints hints;
};

// Owner to follower: the request may be sent to `target`.
struct grant_item {
    shard_id shard;
    reservation_number number = 0;
    helpers::target_id target;
    helpers::time_point time;
    // Incarnation of the target.
    std::uint64_t incarnation = 0;
    // Concurrent requests that the target is allowed now.
    std::uint32_t allowance = 0;
    bool sponsored = false;
};

// Owner to follower: no candidate has capacity.
struct no_capacity_item {
    shard_id shard;
    reservation_number number = 0;
    // The request waits in the owner's queue; false: the reservation is rejected.
    bool queued = false;
    bool sponsored = false;
};

// Follower to owner: finishes a granted reservation or cancels a waiting one.
struct finish_item {
    shard_id shard;
    reservation_number number = 0;
    admission::release::result result = admission::release::result::success;
    helpers::duration first_byte{};
    bool sponsored = false;
};

// Owner to witness: requests that the receiver keep a record of the grant. A witness is a follower
// in another failure domain than the owner and the requester.
struct witness_item {
    shard_id shard;
    outstanding_grant record;
};

// Witness to owner: whether the record was accepted.
struct witness_reply_item {
    shard_id shard;
    helpers::router_id requester;
    reservation_number number = 0;
    bool accepted = false;
};

// Owner to witness: the record is no longer needed.
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

// Sends messages to routers of the fleet, without a delivery guarantee.
class share_outbox {
public:
    virtual ~share_outbox() = default;
    virtual void send(const helpers::endpoint& to, const share_message& content) = 0;
};

// Collects the message of the current loop iteration for each router, this one included.
class share_mailbox {
public:
    virtual ~share_mailbox() = default;
    virtual share_message& to(helpers::router_id receiver) = 0;
};

} // namespace samphirespool::ownership
