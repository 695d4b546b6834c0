// Accepts and opens connections, and passes received frames to the receiver of their kind.
#include "wire/tcp_transport.hpp"

#include "wire/socket_options.hpp"

#include <cerrno>
#include <cstring>

namespace samphirespool::wire {

namespace {

constexpr auto unused_peer_timeout = std::chrono::minutes(10);

} // namespace

tcp_transport::tcp_transport(http::event_loop& loop, kernel::hybrid_clock& clock,
                             kernel::random_source& random, tcp_transport_settings settings)
    : settings(std::move(settings)),
      signer(this->settings.keys),
      context{loop, clock, random, this->signer, this->settings.listen, this->settings.incarnation,
              {},   {}} {
    this->inbound_events.on_frame = [this](const helpers::endpoint& from,
                                           const received_frame& frame) {
        const auto& receiver = this->receivers[static_cast<std::size_t>(frame.kind)];
        if (receiver)
            receiver(from, frame.payload);
    };
    this->inbound_events.on_hello = [this](const helpers::endpoint& from) {
        const auto peer = this->peers.find(from);
        if (peer != this->peers.end())
            peer->second->reset_back_off();
    };
    this->inbound_events.on_closed = [this](inbound_connection& closed) {
        this->inbound.erase(&closed);
    };
}

tcp_transport::~tcp_transport() {
    if (this->listener != nullptr)
        h2o_socket_close(this->listener);
}

std::optional<kernel::error> tcp_transport::start() {
    const auto descriptor = open_listener(this->context.self);
    if (!descriptor)
        return kernel::error{kernel::error_kind::invalid_settings,
                             "cannot listen on peer address " +
                                 helpers::to_string(this->context.self) + ": " +
                                 std::strerror(errno)};
    this->listener = h2o_evloop_socket_create(this->context.loop.native(), *descriptor,
                                              H2O_SOCKET_FLAG_DONT_READ);
    this->listener->data = this;
    h2o_socket_read_start(this->listener, on_accept);
    return std::nullopt;
}

void tcp_transport::send(const helpers::endpoint& to, frame_kind kind,
                         std::span<const std::uint8_t> payload) {
    auto peer = this->peers.find(to);
    if (peer == this->peers.end()) {
        this->remove_unused_peers();
        peer = this->peers.emplace(to, std::make_unique<outbound_peer>(this->context, to)).first;
    }
    peer->second->send(kind, payload);
}

void tcp_transport::set_receiver(frame_kind kind, frame_receiver receiver) {
    this->receivers.at(static_cast<std::size_t>(kind)) = std::move(receiver);
}

void tcp_transport::on_accept(h2o_socket_t* listener, const char* error) {
    if (error == nullptr)
        static_cast<tcp_transport*>(listener->data)->accept_pending();
}

void tcp_transport::accept_pending() {
    while (auto* socket = h2o_evloop_socket_accept(this->listener)) {
        if (!this->make_room()) {
            h2o_socket_close(socket);
            continue;
        }
        ++this->context.counters.accepts;
        set_connection_options(h2o_socket_get_fd(socket));
        auto accepted =
            std::make_unique<inbound_connection>(this->context, socket, this->inbound_events);
        const auto* key = accepted.get();
        this->inbound.emplace(key, std::move(accepted));
    }
}

bool tcp_transport::make_room() {
    if (this->inbound.size() < this->settings.max_inbound)
        return true;
    auto oldest = this->inbound.end();
    for (auto each = this->inbound.begin(); each != this->inbound.end(); ++each)
        if (!each->second->is_known() && (oldest == this->inbound.end() ||
                                          each->second->opened_at() < oldest->second->opened_at()))
            oldest = each;
    if (oldest == this->inbound.end())
        return false;
    ++this->context.counters.replaced;
    this->inbound.erase(oldest);
    return true;
}

void tcp_transport::remove_unused_peers() {
    const auto since = this->context.loop.time().now() - unused_peer_timeout;
    std::erase_if(this->peers,
                  [&](const auto& entry) { return entry.second->unused_since(since); });
}

} // namespace samphirespool::wire
