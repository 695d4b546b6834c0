// Reads, verifies and counts the frames that one peer sends.
#include "wire/inbound_connection.hpp"

#include "wire/generated/hello_generated.h"
#include "wire/payload_check.hpp"

#include <openssl/rand.h>

namespace samphirespool::wire {

namespace {

constexpr auto hello_timeout = std::chrono::seconds(5);
// Of the first frame, before which the peer is not known.
constexpr std::size_t max_hello_bytes = 4096;

challenge make_challenge() {
    challenge result{};
    RAND_bytes(result.data(), static_cast<int>(result.size()));
    return result;
}

} // namespace

inbound_connection::inbound_connection(transport_context& context, h2o_socket_t* socket,
                                       const events& listener)
    : context(context),
      socket(socket),
      listener(listener),
      opened(context.loop.time().now()),
      session_challenge(make_challenge()),
      decoder(
          context.signer, this->session_challenge, context.self,
          [this](const received_frame& frame) { this->handle_frame(frame); },
          [this](frame_fault fault) {
              ++this->context.counters.faults[static_cast<std::size_t>(fault)];
          }) {
    this->decoder.limit_frames(max_hello_bytes);
    this->socket->data = this;
    h2o_iovec_t buffer = {reinterpret_cast<char*>(this->session_challenge.data()),
                          this->session_challenge.size()};
    h2o_socket_write(this->socket, &buffer, 1, on_written);
    h2o_socket_read_start(this->socket, on_read);
    this->hello_timer = this->context.loop.schedule(hello_timeout, [this] {
        this->hello_timer = 0;
        this->schedule_close();
    });
}

inbound_connection::~inbound_connection() {
    this->context.loop.cancel(this->hello_timer);
    h2o_socket_close(this->socket);
}

void inbound_connection::on_written(h2o_socket_t*, const char*) {
    // A failed write is reported as a failed read.
}

void inbound_connection::on_read(h2o_socket_t* socket, const char* error) {
    auto& self = *static_cast<inbound_connection*>(socket->data);
    if (error != nullptr) {
        self.decoder.on_connection_closed(socket->input->size);
        self.schedule_close();
        return;
    }
    self.read_available();
}

void inbound_connection::read_available() {
    const auto* start = reinterpret_cast<const std::uint8_t*>(this->socket->input->bytes);
    const auto consumed = this->decoder.consume({start, this->socket->input->size});
    h2o_buffer_consume(&this->socket->input, consumed);
    if (this->decoder.has_lost_boundary())
        this->schedule_close();
}

void inbound_connection::handle_frame(const received_frame& received) {
    // FlatBuffers reads numbers in place and needs them aligned. Payloads are not aligned within
    // the input buffer, so the payload is copied.
    const bytes aligned(received.payload.begin(), received.payload.end());
    auto frame = received;
    frame.payload = aligned;
    this->context.clock.observe(frame.time);
    const auto kind = static_cast<std::size_t>(frame.kind);
    const auto is_valid = kind < frame_kind_count && payload_is_valid(frame.kind, frame.payload);
    if (!is_valid || (frame.kind != hello_kind && !this->peer_address)) {
        ++this->context.counters.faults[static_cast<std::size_t>(frame_fault::garbage)];
        return;
    }
    auto& kind_totals = this->context.counters.received[kind];
    ++kind_totals.frames;
    kind_totals.bytes += header_bytes + frame.payload.size();
    if (frame.kind == hello_kind)
        this->handle_hello(frame);
    else
        this->listener.on_frame(*this->peer_address, frame);
}

void inbound_connection::handle_hello(const received_frame& frame) {
    const auto* hello = fb::Gethello(frame.payload.data());
    const auto address = helpers::parse_endpoint(hello->address()->string_view());
    if (!address) {
        ++this->context.counters.faults[static_cast<std::size_t>(frame_fault::garbage)];
        return;
    }
    this->peer_address = address;
    this->decoder.limit_frames(max_frame_bytes);
    this->context.loop.cancel(this->hello_timer);
    this->hello_timer = 0;
    this->listener.on_hello(*address);
}

void inbound_connection::schedule_close() {
    h2o_socket_read_stop(this->socket);
    // on_closed destroys this object, so it must not run within a callback of the connection.
    this->context.loop.cancel(this->hello_timer);
    this->hello_timer = this->context.loop.schedule(helpers::duration::zero(), [this] {
        this->hello_timer = 0;
        this->listener.on_closed(*this);
    });
}

} // namespace samphirespool::wire
