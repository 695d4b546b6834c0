// Connects to one peer and writes the queued frames.
#include "wire/outbound_peer.hpp"

#include "wire/generated/hello_generated.h"
#include "wire/socket_options.hpp"

#include <algorithm>
#include <cerrno>

namespace samphirespool::wire {

namespace {

constexpr std::size_t max_queue_bytes = 4 * max_frame_bytes;
constexpr std::size_t max_queue_frames = 4096;
constexpr std::size_t max_write_bytes = std::size_t{64} * 1024;
constexpr auto connect_timeout = std::chrono::seconds(2);
constexpr auto reconnect_delay = std::chrono::milliseconds(20);
constexpr auto min_back_off = helpers::duration(std::chrono::milliseconds(100));
constexpr auto max_back_off = helpers::duration(std::chrono::seconds(2));

} // namespace

outbound_peer::outbound_peer(transport_context& context, helpers::endpoint to)
    : context(context), to(std::move(to)) {}

outbound_peer::~outbound_peer() {
    this->close();
    this->context.loop.cancel(this->flush_timer);
}

void outbound_peer::send(frame_kind kind, std::span<const std::uint8_t> payload) {
    const auto now = this->context.loop.time().now();
    this->last_used = now;
    const auto is_full = this->queue.size() >= max_queue_frames ||
                         this->queue_bytes + payload.size() > max_queue_bytes;
    const auto is_backing_off = this->current_state == state::idle && now < this->next_attempt_at;
    if (is_full || is_backing_off || payload.size() > max_frame_bytes - header_bytes) {
        ++this->context.counters.dropped;
        return;
    }
    this->queue.push_back({kind, bytes(payload.begin(), payload.end())});
    this->queue_bytes += payload.size();
    if (this->current_state == state::idle)
        this->connect();
    else if (this->current_state == state::ready)
        this->schedule_flush();
}

void outbound_peer::reset_back_off() {
    this->back_off = helpers::duration::zero();
    this->next_attempt_at = {};
}

bool outbound_peer::unused_since(helpers::time_point since) const {
    return this->current_state == state::idle && this->last_used < since;
}

void outbound_peer::connect() {
    const auto descriptor = open_connection(this->to);
    if (!descriptor) {
        this->fail();
        return;
    }
    this->socket = h2o_evloop_socket_create(this->context.loop.native(), *descriptor, 0);
    this->socket->data = this;
    h2o_socket_notify_write(this->socket, on_connect);
    this->current_state = state::connecting;
    this->connect_timer = this->context.loop.schedule(connect_timeout, [this] {
        this->connect_timer = 0;
        this->fail();
    });
}

void outbound_peer::on_connect(h2o_socket_t* socket, const char* error) {
    auto& self = *static_cast<outbound_peer*>(socket->data);
    const auto reason = connection_error(h2o_socket_get_fd(socket));
    if (error != nullptr || reason != 0) {
        self.fail();
        if (reason == ECONNREFUSED && self.context.on_refused)
            self.context.on_refused(self.to);
        return;
    }
    set_connection_options(h2o_socket_get_fd(socket));
    self.current_state = state::awaiting_challenge;
    h2o_socket_read_start(socket, on_read);
}

void outbound_peer::on_read(h2o_socket_t* socket, const char* error) {
    auto& self = *static_cast<outbound_peer*>(socket->data);
    if (error != nullptr) {
        const auto was_ready = self.current_state == state::ready;
        self.fail();
        if (was_ready)
            self.reconnect();
        return;
    }
    if (self.current_state == state::awaiting_challenge)
        self.handle_challenge();
    else
        h2o_buffer_consume(&socket->input, socket->input->size);
}

void outbound_peer::handle_challenge() {
    if (this->socket->input->size < challenge_bytes)
        return;
    challenge session_challenge{};
    std::copy_n(this->socket->input->bytes, session_challenge.size(),
                reinterpret_cast<char*>(session_challenge.data()));
    h2o_buffer_consume(&this->socket->input, this->socket->input->size);
    this->context.loop.cancel(this->connect_timer);
    this->connect_timer = 0;
    this->encoder.emplace(this->context.signer, session_challenge, this->to);
    this->current_state = state::ready;
    this->reset_back_off();
    ++this->context.counters.connects;
    flatbuffers::FlatBufferBuilder builder(128);
    const auto address = builder.CreateString(helpers::to_string(this->context.self));
    builder.Finish(fb::Createhello(builder, address, this->context.incarnation.value));
    this->append(hello_kind, {builder.GetBufferPointer(), builder.GetSize()});
    this->flush();
}

// A connection that is closed while in use often means that the peer's process has stopped. A new
// connection attempt is refused in that case, which on_refused reports without waiting for the next
// payload.
void outbound_peer::reconnect() {
    this->context.loop.cancel(this->flush_timer);
    this->flush_timer = this->context.loop.schedule(reconnect_delay, [this] {
        this->flush_timer = 0;
        if (this->current_state == state::idle)
            this->connect();
    });
}

// Batches the payloads of one loop iteration into one write.
void outbound_peer::schedule_flush() {
    if (this->write_pending || this->flush_timer != 0)
        return;
    this->flush_timer = this->context.loop.schedule(helpers::duration::zero(), [this] {
        this->flush_timer = 0;
        if (this->current_state == state::ready && !this->write_pending)
            this->flush();
    });
}

void outbound_peer::flush() {
    while (!this->queue.empty() && this->write_buffer.size() < max_write_bytes) {
        const auto& next = this->queue.front();
        this->append(next.kind, next.payload);
        this->queue_bytes -= next.payload.size();
        this->queue.pop_front();
    }
    if (this->write_buffer.empty())
        return;
    this->write_pending = true;
    h2o_iovec_t buffer = {reinterpret_cast<char*>(this->write_buffer.data()),
                          this->write_buffer.size()};
    h2o_socket_write(this->socket, &buffer, 1, on_written);
}

void outbound_peer::append(frame_kind kind, std::span<const std::uint8_t> payload) {
    this->encoder->append(this->write_buffer, kind, this->context.clock.tick(), payload);
    auto& kind_totals =
        this->context.counters.sent[static_cast<std::size_t>(kind) % frame_kind_count];
    ++kind_totals.frames;
    kind_totals.bytes += header_bytes + payload.size();
}

void outbound_peer::on_written(h2o_socket_t* socket, const char* error) {
    auto& self = *static_cast<outbound_peer*>(socket->data);
    self.write_pending = false;
    self.write_buffer.clear();
    if (self.write_buffer.capacity() > max_write_bytes)
        self.write_buffer.shrink_to_fit();
    if (error != nullptr) {
        self.fail();
        return;
    }
    if (!self.queue.empty())
        self.flush();
}

void outbound_peer::fail() {
    this->close();
    this->context.counters.dropped += this->queue.size();
    this->queue.clear();
    this->queue_bytes = 0;
    const auto doubled = std::clamp(this->back_off * 2, min_back_off, max_back_off);
    this->back_off = doubled;
    const auto jitter = 0.75 + this->context.random.fraction() / 2;
    const auto delay = std::chrono::duration_cast<helpers::duration>(doubled * jitter);
    this->next_attempt_at = this->context.loop.time().now() + delay;
}

void outbound_peer::close() {
    this->context.loop.cancel(this->connect_timer);
    this->connect_timer = 0;
    if (this->socket != nullptr)
        h2o_socket_close(this->socket);
    this->socket = nullptr;
    this->encoder.reset();
    this->write_buffer.clear();
    this->write_pending = false;
    this->current_state = state::idle;
}

} // namespace samphirespool::wire
