// Reads, checks and counts the frames of one peer.
#include "wire/inbound_connection.hpp"

#include "wire/generated/hello_generated.h"
#include "wire/payload_check.hpp"

#include <openssl/rand.h>

namespace samphirespool::wire {

namespace {

constexpr auto hello_wait = std::chrono::seconds(5);

challenge make_challenge() {
    challenge fresh{};
    RAND_bytes(fresh.data(), static_cast<int>(fresh.size()));
    return fresh;
}

} // namespace

inbound_connection::inbound_connection(transport_context& context, h2o_socket_t* socket,
                                       const events& listener)
    : context(context),
      socket(socket),
      listener(listener),
      opened_with(make_challenge()),
      decoder(
          context.signer, this->opened_with, context.self,
          [this](const received_frame& frame) { this->take(frame); },
          [this](frame_fault fault) {
              ++this->context.counters.faults[static_cast<std::size_t>(fault)];
          }) {
    this->socket->data = this;
    h2o_iovec_t greeting = {reinterpret_cast<char*>(this->opened_with.data()),
                            this->opened_with.size()};
    h2o_socket_write(this->socket, &greeting, 1, on_written);
    h2o_socket_read_start(this->socket, on_read);
    this->hello_timeout = this->context.loop.schedule(hello_wait, [this] {
        this->hello_timeout = 0;
        this->end();
    });
}

inbound_connection::~inbound_connection() {
    this->context.loop.cancel(this->hello_timeout);
    h2o_socket_close(this->socket);
}

void inbound_connection::on_written(h2o_socket_t*, const char*) {
    // A failed write shows as a failed read.
}

void inbound_connection::on_read(h2o_socket_t* socket, const char* error) {
    auto& self = *static_cast<inbound_connection*>(socket->data);
    if (error != nullptr) {
        self.decoder.end(socket->input->size);
        self.end();
        return;
    }
    self.read_available();
}

void inbound_connection::read_available() {
    const auto* start = reinterpret_cast<const std::uint8_t*>(this->socket->input->bytes);
    const auto taken = this->decoder.consume({start, this->socket->input->size});
    h2o_buffer_consume(&this->socket->input, taken);
    if (this->decoder.broken())
        this->end();
}

void inbound_connection::take(const received_frame& received) {
    // FlatBuffers read numbers in place, which have to be aligned; within the frame they are not.
    const bytes aligned(received.payload.begin(), received.payload.end());
    auto frame = received;
    frame.payload = aligned;
    this->context.clock.observe(frame.time);
    const auto kind = static_cast<std::size_t>(frame.kind);
    const auto known = kind < frame_kind_count && payload_is_valid(frame.kind, frame.payload);
    if (!known || (frame.kind != hello_kind && !this->from)) {
        ++this->context.counters.faults[static_cast<std::size_t>(frame_fault::garbage)];
        return;
    }
    auto& counted = this->context.counters.received[kind];
    ++counted.frames;
    counted.bytes += header_bytes + frame.payload.size();
    if (frame.kind == hello_kind)
        this->take_hello(frame);
    else
        this->listener.on_frame(*this->from, frame);
}

void inbound_connection::take_hello(const received_frame& frame) {
    const auto* hello = fb::Gethello(frame.payload.data());
    const auto address = helpers::parse_endpoint(hello->address()->string_view());
    if (!address) {
        ++this->context.counters.faults[static_cast<std::size_t>(frame_fault::garbage)];
        return;
    }
    this->from = address;
    this->context.loop.cancel(this->hello_timeout);
    this->hello_timeout = 0;
    this->listener.on_hello(*address);
}

void inbound_connection::end() {
    h2o_socket_read_stop(this->socket);
    // The owner must not destroy a connection from within its own callback.
    this->context.loop.cancel(this->hello_timeout);
    this->hello_timeout = this->context.loop.schedule(helpers::duration::zero(), [this] {
        this->hello_timeout = 0;
        this->listener.on_end(*this);
    });
}

} // namespace samphirespool::wire
