// Reads a snapshot of the configuration from a peer, and serves snapshots to peers.
#pragma once

#include "config/configuration_manager.hpp"
#include "config/configuration_network.hpp"
#include "kernel/loop.hpp"
#include "store/state_loader.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace samphirespool::store {

// A peer as the source of a snapshot. A part without a reply in time fails.
class peer_source final : public snapshot_source {
public:
    peer_source(kernel::loop& loop, config::configuration_network& network);
    ~peer_source() override;
    peer_source(const peer_source&) = delete;
    peer_source& operator=(const peer_source&) = delete;

    // Sets the peer to read from. Must not be called while a load from this source runs.
    void set_peer(const helpers::endpoint& peer) { this->peer = peer; }

    void read_root(std::function<void(source_reply)> callback) override;
    void read_chunk(std::size_t index, const std::string& name,
                    std::function<void(source_reply)> callback) override;

    void on_reply(const config::snapshot_reply& reply);

private:
    struct pending_call {
        // Name of the requested chunk; empty for the root.
        std::string name;
        std::function<void(source_reply)> callback;
        kernel::timer_id timer = 0;
    };
    void request_part(std::uint32_t part, const std::string& name,
                      std::function<void(source_reply)> callback);
    void finish(std::uint64_t call, source_reply reply);

    kernel::loop& loop;
    config::configuration_network& network;
    helpers::endpoint peer;
    std::uint64_t last_call = 0;
    std::map<std::uint64_t, pending_call> pending_calls;
};

// Replies to requests for parts of this router's snapshot.
class snapshot_server {
public:
    explicit snapshot_server(const config::configuration_manager& manager) : manager(manager) {}
    config::snapshot_reply reply_to(const config::snapshot_request& request);

private:
    // Rebuilds `organisations` if the configuration has changed.
    void group_organisations();

    const config::configuration_manager& manager;
    // Version of the configuration that `organisations` was built from. Keeps it alive.
    std::shared_ptr<const config::fleet_configuration> grouped_configuration;
    // Organisations by chunk index; built by the first request for a version.
    std::vector<std::vector<const config::organisation_definition*>> organisations;
};

} // namespace samphirespool::store
