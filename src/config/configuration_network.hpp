// What routers tell each other about the configuration and the list of VMs, and who they are.
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

// Orders the lists of VMs that relays publish. Two relays that publish at once use the same number.
struct vm_list_version {
    std::uint64_t number = 0;
    std::uint64_t publisher = 0;

    friend auto operator<=>(const vm_list_version&, const vm_list_version&) = default;
};

// What a router has; about 60 bytes on the wire.
struct state_digest {
    bool has_state = false;
    configuration_version version = 0;
    std::uint64_t marks = 0;
    vm_list_version vms;
    // The receiver answers with its own digest and with what the sender lacks.
    bool wants_reply = false;
};

struct delta_push {
    // Encoded configuration_delta, in order.
    std::vector<std::string> deltas;
};

// The sender has a newer version and no deltas for the receiver, who fetches its snapshot.
struct snapshot_offer {
    configuration_version version = 0;
};

struct marks_push {
    std::vector<provisional_mark> marks;
};

// Changes a list of VMs of version `from` into that of version `to`; a `from` of zero is the empty
// list.
struct vms_push {
    vm_list_version from;
    vm_list_version to;
    std::vector<helpers::vm_entry> changed;
    std::vector<std::string> removed;
};

// Part 0 is the root, part i + 1 is chunk i.
struct snapshot_request {
    std::uint64_t call = 0;
    std::uint32_t part = 0;
};

struct snapshot_reply {
    std::uint64_t call = 0;
    bool found = false;
    // Name of the chunk object of which this is the content; empty for the root.
    std::string name;
    std::string text;
};

using configuration_message = std::variant<state_digest, delta_push, snapshot_offer, marks_push,
                                           vms_push, snapshot_request, snapshot_reply>;

class configuration_network {
public:
    virtual ~configuration_network() = default;

    // Best effort, in order per peer.
    virtual void send(const helpers::endpoint& to, const configuration_message& message) = 0;

    using receiver =
        std::function<void(const helpers::endpoint& from, const configuration_message& message)>;
    virtual void set_receiver(receiver handler) = 0;
};

struct peer_router {
    std::string name;
    std::string region;
    helpers::endpoint address;
};

// The live routers as the membership sees them.
class peer_directory {
public:
    virtual ~peer_directory() = default;
    virtual const peer_router& self() const = 0;
    // Without the own one.
    virtual const std::vector<peer_router>& peers() const = 0;
};

// The routers of the region that hold the watch: the first two of a rendezvous order over the live
// ones, the own one included.
std::vector<peer_router> relays_of(const peer_directory& directory, std::string_view region);
bool is_relay(const peer_directory& directory);

// Whether the own router is the one of the fleet that deletes unused objects.
bool is_collector(const peer_directory& directory);

} // namespace samphirespool::config
