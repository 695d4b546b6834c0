// Interfaces that claims need from other layers: messages to the owner of a shard, and the objects
// of the store.
#pragma once

#include "claims/claim_journal.hpp"
#include "helpers/endpoint.hpp"

#include <functional>
#include <string>
#include <string_view>

namespace samphirespool::claims {

class claim_network {
public:
    virtual ~claim_network() = default;

    // Both send without a delivery guarantee.
    virtual void send(const helpers::endpoint& to, const claim_call& call) = 0;
    virtual void send(const helpers::endpoint& to, const call_reply& reply) = 0;

    virtual void
    set_call_handler(std::function<void(const helpers::endpoint&, const claim_call&)> handler) = 0;
    virtual void set_reply_handler(std::function<void(const call_reply&)> handler) = 0;
};

// The objects of the platform's store, as the journals use them. `callback` never runs within the
// call.
class journal_objects {
public:
    virtual ~journal_objects() = default;
    virtual void read(std::string_view key, std::function<void(object_reply)> callback) = 0;
    virtual void write(std::string_view key, std::uint64_t expected, std::string value,
                       std::function<void(object_reply)> callback) = 0;
    virtual void remove(std::string_view key, std::uint64_t version) = 0;
};

} // namespace samphirespool::claims
