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
constexpr auto connect_wait = std::chrono::seconds(2);
constexpr auto reconnect_pause = std::chrono::milliseconds(20);
constexpr auto min_back_off = helpers::duration(std::chrono::milliseconds(100));
constexpr auto max_back_off = helpers::duration(std::chrono::seconds(2));

} // namespace

outbound_peer::outbound_peer(transport_context& context, helpers::endpoint to)
    : context(context), to(std::move(to)) {}

outbound_peer::~outbound_peer() {
    this->close();
    this->context.loop.cancel(this->flush_task);
}

void outbound_peer::send(frame_kind kind, std::span<const std::uint8_t> payload) {
    const auto now = this->context.loop.time().now();
    this->last_used = now;
    const auto full = this->queue.size() >= max_queue_frames ||
                      this->queue_bytes + payload.size() > max_queue_bytes;
    const auto waits = this->now_in == state::idle && now < this->not_before;
    if (full || waits || payload.size() > max_frame_bytes - header_bytes) {
        ++this->context.counters.dropped;
        return;
    }
    this->queue.push_back({kind, bytes(payload.begin(), payload.end())});
    this->queue_bytes += payload.size();
    if (this->now_in == state::idle)
        this->connect();
    else if (this->now_in == state::ready)
        this->schedule_flush();
}

void outbound_peer::reset_back_off() {
    this->back_off = helpers::duration::zero();
    this->not_before = {};
}

bool outbound_peer::unused_since(helpers::time_point since) const {
    return this->now_in == state::idle && this->last_used < since;
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
    this->now_in = state::connecting;
    this->connect_timeout = this->context.loop.schedule(connect_wait, [this] {
        this->connect_timeout = 0;
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
    self.now_in = state::greeting;
    h2o_socket_read_start(socket, on_read);
}

void outbound_peer::on_read(h2o_socket_t* socket, const char* error) {
    auto& self = *static_cast<outbound_peer*>(socket->data);
    if (error != nullptr) {
        const auto was_ready = self.now_in == state::ready;
        self.fail();
        if (was_ready)
            self.connect_again();
        return;
    }
    if (self.now_in == state::greeting)
        self.take_greeting();
    else
        h2o_buffer_consume(&socket->input, socket->input->size);
}

void outbound_peer::take_greeting() {
    if (this->socket->input->size < challenge_bytes)
        return;
    challenge opened_with{};
    std::copy_n(this->socket->input->bytes, opened_with.size(),
                reinterpret_cast<char*>(opened_with.data()));
    h2o_buffer_consume(&this->socket->input, this->socket->input->size);
    this->context.loop.cancel(this->connect_timeout);
    this->connect_timeout = 0;
    this->encoder.emplace(this->context.signer, opened_with, this->to);
    this->now_in = state::ready;
    this->reset_back_off();
    ++this->context.counters.connects;
    flatbuffers::FlatBufferBuilder builder(128);
    const auto address = builder.CreateString(helpers::to_string(this->context.self));
    builder.Finish(fb::Createhello(builder, address, this->context.incarnation.value));
    this->append(hello_kind, {builder.GetBufferPointer(), builder.GetSize()});
    this->flush();
}

// A connection that ends while in use often means that the process is over; connecting again tells
// at once.
void outbound_peer::connect_again() {
    this->context.loop.cancel(this->flush_task);
    this->flush_task = this->context.loop.schedule(reconnect_pause, [this] {
        this->flush_task = 0;
        if (this->now_in == state::idle)
            this->connect();
    });
}

// Payloads of one turn of the loop leave in one write.
void outbound_peer::schedule_flush() {
    if (this->write_pending || this->flush_task != 0)
        return;
    this->flush_task = this->context.loop.schedule(helpers::duration::zero(), [this] {
        this->flush_task = 0;
        if (this->now_in == state::ready && !this->write_pending)
            this->flush();
    });
}

void outbound_peer::flush() {
    while (!this->queue.empty() && this->writing.size() < max_write_bytes) {
        const auto& next = this->queue.front();
        this->append(next.kind, next.payload);
        this->queue_bytes -= next.payload.size();
        this->queue.pop_front();
    }
    if (this->writing.empty())
        return;
    this->write_pending = true;
    h2o_iovec_t buffer = {reinterpret_cast<char*>(this->writing.data()), this->writing.size()};
    h2o_socket_write(this->socket, &buffer, 1, on_written);
}

void outbound_peer::append(frame_kind kind, std::span<const std::uint8_t> payload) {
    this->encoder->append(this->writing, kind, this->context.clock.tick(), payload);
    auto& counted = this->context.counters.sent[static_cast<std::size_t>(kind) % frame_kind_count];
    ++counted.frames;
    counted.bytes += header_bytes + payload.size();
}

void outbound_peer::on_written(h2o_socket_t* socket, const char* error) {
    auto& self = *static_cast<outbound_peer*>(socket->data);
    self.write_pending = false;
    self.writing.clear();
    if (self.writing.capacity() > max_write_bytes)
        self.writing.shrink_to_fit();
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
    const auto pause = std::chrono::duration_cast<helpers::duration>(doubled * jitter);
    this->not_before = this->context.loop.time().now() + pause;
}

void outbound_peer::close() {
    this->context.loop.cancel(this->connect_timeout);
    this->connect_timeout = 0;
    if (this->socket != nullptr)
        h2o_socket_close(this->socket);
    this->socket = nullptr;
    this->encoder.reset();
    this->writing.clear();
    this->write_pending = false;
    this->now_in = state::idle;
}

} // namespace samphirespool::wire
