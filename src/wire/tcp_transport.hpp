// The transport between routers: signed frames over TCP on the process's event loop. Each router
// connects to the peers that it sends to; frames in the other direction use the peer's connection.
#pragma once

#include "kernel/error.hpp"
#include "wire/inbound_connection.hpp"
#include "wire/outbound_peer.hpp"
#include "wire/peer_transport.hpp"

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace samphirespool::wire {

struct tcp_transport_settings {
    // Port 0: any free port; self() tells which.
    helpers::endpoint listen;
    helpers::incarnation incarnation;
    // Newest first; see parse_fleet_keys().
    std::vector<bytes> keys;
    std::size_t max_inbound = 4096;
};

class tcp_transport final : public peer_transport {
public:
    tcp_transport(http::event_loop& loop, kernel::hybrid_clock& clock,
                  kernel::random_source& random, tcp_transport_settings settings);
    ~tcp_transport() override;

    // Opens the listener. Returns the reason if that failed.
    std::optional<kernel::error> start();

    void send(const helpers::endpoint& to, frame_kind kind,
              std::span<const std::uint8_t> payload) override;
    void receive(frame_kind kind, frame_receiver receiver) override;

    // Sets the one listener for refused connections.
    void on_refused(std::function<void(const helpers::endpoint&)> listener) {
        this->context.on_refused = std::move(listener);
    }

    const helpers::endpoint& self() const { return this->context.self; }
    const transport_counters& counters() const { return this->context.counters; }

private:
    static void on_accept(h2o_socket_t* listener, const char* error);
    void accept_all();
    void forget_unused_peers();

    tcp_transport_settings settings;
    frame_signer signer;
    transport_context context;
    inbound_connection::events inbound_events;
    h2o_socket_t* listener = nullptr;
    std::array<frame_receiver, frame_kind_count> receivers;
    std::map<helpers::endpoint, std::unique_ptr<outbound_peer>> peers;
    std::map<const inbound_connection*, std::unique_ptr<inbound_connection>> inbound;
};

} // namespace samphirespool::wire
