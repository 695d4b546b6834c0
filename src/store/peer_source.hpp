// A peer as the source of a snapshot, and the answers to peers that use this router as theirs.
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

class peer_source final : public snapshot_source {
public:
    peer_source(kernel::loop& loop, config::configuration_network& network);
    ~peer_source() override;
    peer_source(const peer_source&) = delete;
    peer_source& operator=(const peer_source&) = delete;

    // Chooses the peer to ask. Not to be called while a load from this source runs.
    void use(const helpers::endpoint& peer) { this->peer = peer; }

    void read_root(std::function<void(source_reply)> done) override;
    void read_chunk(std::size_t index, const std::string& name,
                    std::function<void(source_reply)> done) override;

    void take(const config::snapshot_reply& reply);

private:
    struct open_call {
        std::string name;
        std::function<void(source_reply)> done;
        kernel::timer_id timer = 0;
    };
    void ask(std::uint32_t part, const std::string& name, std::function<void(source_reply)> done);
    void end(std::uint64_t call, source_reply reply);

    kernel::loop& loop;
    config::configuration_network& network;
    helpers::endpoint peer;
    std::uint64_t last_call = 0;
    std::map<std::uint64_t, open_call> calls;
};

class snapshot_server {
public:
    explicit snapshot_server(const config::configuration_manager& manager) : manager(manager) {}
    config::snapshot_reply answer(const config::snapshot_request& request);

private:
    void group();

    const config::configuration_manager& manager;
    // Organisations by chunk, of the version below; grouped when first asked for.
    std::shared_ptr<const config::fleet_configuration> grouped;
    std::vector<std::vector<const config::organisation_definition*>> organisations;
};

} // namespace samphirespool::store
