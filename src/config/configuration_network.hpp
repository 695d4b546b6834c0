// Messages between routers that replicate the configuration and the list of VMs, the interface that
// carries them, and the choice of routers with a special role.
#pragma once

#include "config/provisional_marks.hpp"
#include "helpers/endpoint.hpp"
#include "helpers/vm_entry.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace samphirespool::config {

// Version of the list of VMs. Two relays that publish at the same time use the same number; the
// publisher then decides which list is the newer one.
struct vm_list_version {
    std::uint64_t number = 0;
    // Hash of the publishing router's name.
    std::uint64_t publisher = 0;

    friend auto operator<=>(const vm_list_version&, const vm_list_version&) = default;
};

// Summary of a router's state; about 60 bytes on the wire.
struct state_digest {
    bool has_state = false;
    configuration_version version = 0;
    // Digest of the provisional marks.
    std::uint64_t marks = 0;
    vm_list_version vms;
    // Whether the receiver must reply with its own digest. It sends what the sender lacks anyway.
    bool wants_reply = false;
};

// Deltas for a receiver whose version is behind.
struct delta_push {
    // Encoded configuration_delta, in order.
    std::vector<std::string> deltas;
};

// Sent instead of deltas if the sender no longer retains them or they are too large. The receiver
// fetches a snapshot from the sender.
struct snapshot_offer {
    configuration_version version = 0;
};

// All provisional marks of the sender.
struct marks_push {
    std::vector<provisional_mark> marks;
};

// Turns version `from` of the list of VMs into version `to`; version zero is the empty list.
struct vms_push {
    vm_list_version from;
    vm_list_version to;
    std::vector<helpers::vm_entry> changed;
    std::vector<std::string> removed;
};

// Requests one part of a snapshot: part 0 is the root, part i + 1 is chunk i.
struct snapshot_request {
    // Chosen by the requester, repeated in the reply.
    std::uint64_t call = 0;
    std::uint32_t part = 0;
};

struct snapshot_reply {
    std::uint64_t call = 0;
    bool found = false;
    // Name of the chunk object with this content; empty for the root.
    std::string name;
    std::string text;
};

using configuration_message = std::variant<state_digest, delta_push, snapshot_offer, marks_push,
                                           vms_push, snapshot_request, snapshot_reply>;

// Carries configuration messages between routers.
class configuration_network {
public:
    virtual ~configuration_network() = default;

    // Messages may be lost; those to one peer arrive in order.
    virtual void send(const helpers::endpoint& to, const configuration_message& message) = 0;

    using receiver =
        std::function<void(const helpers::endpoint& from, const configuration_message& message)>;
    // Sets the handler of incoming messages; an empty one discards them.
    virtual void set_receiver(receiver handler) = 0;
};

struct peer_router {
    std::string name;
    std::string region;
    helpers::endpoint address;
};

// The routers that the membership considers alive.
class peer_directory {
public:
    virtual ~peer_directory() = default;
    virtual const peer_router& self() const = 0;
    // All of them but self().
    virtual const std::vector<peer_router>& peers() const = 0;
};

// Returns the relays of the region: the live routers that watch the store for all of its routers.
// They are the first two in rendezvous order and may include self().
std::vector<peer_router> relays_of(const peer_directory& directory, std::string_view region);
// Whether self() is a relay of its region.
bool is_relay(const peer_directory& directory);

// Whether self() is the one router of the fleet that deletes unused objects from the store.
bool is_collector(const peer_directory& directory);

} // namespace samphirespool::config
