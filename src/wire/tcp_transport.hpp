// The transport between the processes of the fleet: signed frames over TCP on the event loop. Each
// process opens connections to the peers that it sends to. A connection carries frames in one
// direction only; frames in the other direction use a connection that the peer opens.
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
    // Port 0 selects any free port; self() then returns it.
    helpers::endpoint listen;
    helpers::incarnation incarnation;
    // Newest first; see parse_fleet_keys().
    std::vector<bytes> keys;
    // Accepted connections. A further one replaces the oldest one whose peer is not known yet.
    std::size_t max_inbound = 4096;
};

class tcp_transport final : public peer_transport {
public:
    tcp_transport(http::event_loop& loop, kernel::hybrid_clock& clock,
                  kernel::random_source& random, tcp_transport_settings settings);
    ~tcp_transport() override;

    // Starts listening. Returns the error if that failed.
    std::optional<kernel::error> start();

    void send(const helpers::endpoint& to, frame_kind kind,
              std::span<const std::uint8_t> payload) override;
    void set_receiver(frame_kind kind, frame_receiver receiver) override;

    // Sets the listener for connection attempts that a peer refused.
    void on_refused(std::function<void(const helpers::endpoint&)> listener) {
        this->context.on_refused = std::move(listener);
    }

    // The address that this process announces to its peers.
    const helpers::endpoint& self() const { return this->context.self; }
    const transport_counters& counters() const { return this->context.counters; }

private:
    static void on_accept(h2o_socket_t* listener, const char* error);
    void accept_pending();
    // Returns whether there is room for another accepted connection.
    bool make_room();
    void remove_unused_peers();

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
