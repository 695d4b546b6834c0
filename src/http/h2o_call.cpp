// Runs one request on h2o's client, with timeouts, pausing and cancellation.
#include "http/h2o_call.hpp"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <cstring>
#include <utility>

namespace samphirespool::http {

namespace {

constexpr std::size_t narrow_receive_buffer_bytes = std::size_t{64} << 10;

helpers::duration or_default(helpers::duration requested, helpers::duration fallback) {
    return requested == helpers::duration::zero() ? fallback : requested;
}

std::string describe(kernel::response_fault fault) {
    return "the response is malformed: " + std::string(kernel::to_string(fault));
}

// Whether the peer's close ends a response whose end nothing else shows. A reset behind the close
// is not reported to a read, and a peer that has not received the whole request may have crashed.
bool is_orderly_close(h2o_socket_t& socket) {
    const int descriptor = h2o_socket_get_fd(&socket);
    int error = 0;
    socklen_t size = sizeof(error);
    int unacknowledged_bytes = 0;
    return getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0 &&
           ioctl(descriptor, SIOCOUTQ, &unacknowledged_bytes) == 0 && unacknowledged_bytes == 0;
}

} // namespace

h2o_call::h2o_call(event_loop& loop, const client_limits& limits,
                   kernel::response_fault_counts& faults, const client_request& request,
                   response_listener& listener)
    : loop(loop),
      faults(faults),
      listener(listener),
      to(request.to),
      is_head_method(request.method == "HEAD"),
      connect_timeout(or_default(request.connect_timeout, limits.connect_timeout)),
      first_byte_timeout(or_default(request.first_byte_timeout, limits.first_byte_timeout)),
      idle_timeout(or_default(request.idle_timeout, limits.idle_timeout)),
      started(loop.time().now()),
      echoed{request.echoed_field,
             std::string(find_header(request.headers, request.echoed_field).value_or(""))},
      max_body_bytes(request.max_body_bytes),
      reader(request.method == "HEAD") {
    this->serialize(request);
}

h2o_call::~h2o_call() {
    this->loop.cancel(this->timer);
    this->loop.cancel(this->intercept_timer);
    if (this->destroyed_flag != nullptr)
        *this->destroyed_flag = true;
    if (this->scope != nullptr) {
        // A callback of this call is running; h2o closes the connection when it returns.
        this->scope->call_destroyed = true;
        return;
    }
    if (this->native != nullptr)
        h2o_http1client_cancel(this->native);
}

void h2o_call::serialize(const client_request& request) {
    this->message.reserve(request.body.size() + 512);
    this->message += request.method + " " + request.path + " HTTP/1.1\r\nhost: " +
                     (request.host.empty() ? helpers::to_string(request.to) : request.host) +
                     "\r\n";
    for (const auto& field : request.headers)
        this->message.append(field.name).append(": ").append(field.value).append("\r\n");
    if (request.requires_new_connection)
        this->message += "connection: close\r\n";
    const auto body_bytes = request.body.size() + request.shared_body.size();
    if (body_bytes != 0 || request.method == "POST" || request.method == "PUT")
        this->message += "content-length: " + std::to_string(body_bytes) + "\r\n";
    this->message += "\r\n";
    this->message += request.body;
    this->request_vectors[1] =
        h2o_iovec_init(request.shared_body.data(), request.shared_body.size());
}

void h2o_call::connect(h2o_http1client_ctx_t& context, h2o_socketpool_t* pool) {
    this->start_timer(std::min(this->connect_timeout, this->first_byte_timeout));
    if (pool != nullptr) {
        h2o_http1client_connect_with_pool(&this->native, this, &context, pool, on_connect);
        return;
    }
    h2o_http1client_connect(&this->native, this, &context,
                            h2o_iovec_init(this->to.ip.data(), this->to.ip.size()), this->to.port,
                            0, on_connect);
}

void h2o_call::start_timer(helpers::duration wait) {
    this->loop.cancel(this->timer);
    this->timer = this->loop.schedule(wait, [this] {
        this->timer = 0;
        this->on_timer();
    });
}

void h2o_call::on_timer() {
    if (this->current_phase == phase::reading_body) {
        const auto idle = this->loop.time().now() - this->last_progress;
        if (this->paused || idle < this->idle_timeout) {
            this->start_timer(this->paused ? this->idle_timeout : this->idle_timeout - idle);
            return;
        }
    }
    if (auto* cancelled_client = std::exchange(this->native, nullptr))
        h2o_http1client_cancel(cancelled_client);
    if (this->current_phase == phase::connecting)
        this->fail(kernel::error_kind::target_unreachable, "connect timed out");
    else if (this->current_phase == phase::waiting_for_head)
        this->fail(kernel::error_kind::target_failed, "no response within the timeout");
    else
        this->fail(kernel::error_kind::answer_truncated, "the response body stalled");
}

void h2o_call::fail(kernel::error_kind kind, std::string detail, kernel::response_fault fault) {
    const bool maybe_sent = this->current_phase != phase::connecting;
    this->current_phase = phase::finished;
    this->loop.cancel(std::exchange(this->timer, 0));
    if (fault != kernel::response_fault::none)
        this->faults.add(fault);
    this->listener.on_failed({kind, helpers::to_string(this->to) + ": " + std::move(detail), fault},
                             maybe_sent);
}

h2o_http1client_head_cb h2o_call::on_connect(h2o_http1client_t* native, const char* error,
                                             h2o_iovec_t** buffers, std::size_t* count,
                                             int* method_is_head) {
    auto* self = static_cast<h2o_call*>(native->data);
    if (error != nullptr) {
        self->native = nullptr;
        // This can run within start(), where on_failed must not be called.
        self->loop.cancel(self->timer);
        self->timer =
            self->loop.schedule(helpers::duration::zero(), [self, detail = std::string(error)] {
                self->timer = 0;
                self->fail(kernel::error_kind::target_unreachable, detail);
            });
        return nullptr;
    }
    if (!self->listener.on_connected()) {
        self->native = nullptr;
        self->current_phase = phase::finished;
        self->loop.cancel(std::exchange(self->timer, 0));
        return nullptr;
    }
    self->current_phase = phase::waiting_for_head;
    self->start_timer(self->first_byte_timeout);
    self->request_vectors[0] = h2o_iovec_init(self->message.data(), self->message.size());
    *buffers = self->request_vectors.data();
    *count = self->request_vectors[1].len == 0 ? 1 : 2;
    *method_is_head = self->is_head_method ? 1 : 0;
    // h2o starts to write after this function has returned.
    self->loop.cancel(self->intercept_timer);
    self->intercept_timer = self->loop.schedule(helpers::duration::zero(), [self] {
        self->intercept_timer = 0;
        self->intercept_head();
    });
    return on_head;
}

void h2o_call::intercept_head() {
    if (this->native == nullptr || this->current_phase != phase::waiting_for_head)
        return;
    auto* socket = this->native->sock;
    if (socket->_cb.write != nullptr)
        this->h2o_write_callback = std::exchange(socket->_cb.write, on_request_written);
    else if (socket->_cb.read != nullptr && socket->_cb.read != on_head_readable)
        this->h2o_head_reader = std::exchange(socket->_cb.read, on_head_readable);
}

void h2o_call::on_request_written(h2o_socket_t* socket, const char* error) {
    auto& self = call_of(socket);
    if (error != nullptr) {
        self.cancel_and_fail(kernel::error_kind::connection_lost,
                             "the connection failed while the request was written");
        return;
    }
    std::exchange(self.h2o_write_callback, nullptr)(socket, nullptr);
    self.intercept_head();
}

void h2o_call::on_head_readable(h2o_socket_t* socket, const char* error) {
    auto& self = call_of(socket);
    if (error != nullptr) {
        self.cancel_and_fail(kernel::error_kind::connection_lost,
                             "the connection ended before the answer",
                             socket->input->size == 0 ? kernel::response_fault::none
                                                      : kernel::response_fault::cut_in_head);
        return;
    }
    if (!self.judge_received(*socket))
        return;
    if (self.reader.has_head())
        self.h2o_head_reader(socket, nullptr);
    else
        self.listener.on_head_bytes(socket->input->capacity);
}

bool h2o_call::judge_received(const h2o_socket_t& socket) {
    const auto& input = *socket.input;
    const auto judged = std::exchange(this->judged_bytes, input.size);
    // Much of a chunked body may be framing, which on_body does not see.
    if (input.size - judged > narrow_receive_buffer_bytes)
        this->narrow_receive_buffer();
    const auto fault = this->reader.append({input.bytes + judged, input.size - judged});
    if (fault == kernel::response_fault::none)
        return true;
    this->cancel_and_fail(kernel::error_kind::target_failed, describe(fault), fault);
    return false;
}

void h2o_call::cancel_and_fail(kernel::error_kind kind, std::string detail,
                               kernel::response_fault fault) {
    if (auto* cancelled_client = std::exchange(this->native, nullptr))
        h2o_http1client_cancel(cancelled_client);
    this->fail(kind, std::move(detail), fault);
}

h2o_http1client_body_cb h2o_call::on_head(h2o_http1client_t* native, const char* error, int,
                                          int status, h2o_iovec_t, h2o_header_t* headers,
                                          std::size_t count, int header_bytes) {
    auto* self = static_cast<h2o_call*>(native->data);
    const bool is_complete = error == h2o_http1client_error_is_eos;
    callback_scope callback(*self);
    if (error != nullptr && !is_complete) {
        self->native = nullptr;
        // The reader has accepted the head, so h2o was given more fields than it reads.
        self->fail(kernel::error_kind::target_failed, error, kernel::response_fault::head_size);
        return nullptr;
    }
    self->judged_bytes = 0;
    self->current_phase = phase::reading_body;
    self->last_progress = self->loop.time().now();
    self->start_timer(self->idle_timeout);
    header_list received;
    received.reserve(count);
    for (std::size_t i = 0; i < count; ++i)
        received.push_back({std::string(headers[i].name->base, headers[i].name->len),
                            std::string(headers[i].value.base, headers[i].value.len)});
    const bool bytes_follow = native->sock->input->size > static_cast<std::size_t>(header_bytes);
    if ((is_complete && bytes_follow) ||
        (!self->echoed.name.empty() &&
         find_header(received, self->echoed.name) != self->echoed.value))
        self->discard_connection();
    self->listener.on_head(status, received);
    if (callback.call_destroyed)
        return nullptr;
    if (is_complete) {
        self->complete();
        return nullptr;
    }
    // h2o installs its reader after this function has returned. If body bytes were already received
    // it calls on_body directly.
    if (self->is_body_intercepted() && !bytes_follow)
        self->intercept_timer = self->loop.schedule(helpers::duration::zero(), [self] {
            self->intercept_timer = 0;
            self->intercept_body();
        });
    return on_body;
}

void h2o_call::intercept_body() {
    if (this->h2o_body_reader != nullptr || this->native == nullptr)
        return;
    auto& reader =
        this->paused_reader != nullptr ? this->paused_reader : this->native->sock->_cb.read;
    this->h2o_body_reader = std::exchange(reader, on_body_readable);
}

void h2o_call::on_body_readable(h2o_socket_t* socket, const char* error) {
    auto* self = static_cast<h2o_call*>(static_cast<h2o_http1client_t*>(socket->data)->data);
    const auto reader = self->h2o_body_reader;
    const auto& input = *socket->input;
    self->judged_bytes = input.size - std::min(socket->bytes_read, input.size);
    if (!self->judge_received(*socket))
        return;
    const bool is_chunked = self->reader.end() == response_reader::body_end::chunks;
    if (error != nullptr && socket->bytes_read != 0) {
        // Data and the end of the connection were received together. h2o would not decode the data,
        // so the reader first runs without the error.
        bool was_destroyed = false;
        self->destroyed_flag = &was_destroyed;
        reader(socket, nullptr);
        if (was_destroyed)
            return;
        self->destroyed_flag = nullptr;
        if (self->native == nullptr)
            return;
        socket->bytes_read = 0;
    }
    // An orderly close completes a response without a length, but a reset does not.
    self->closed_early = error != nullptr && (is_chunked || error != h2o_socket_error_closed ||
                                              !is_orderly_close(*socket));
    reader(socket, error);
}

int h2o_call::on_body(h2o_http1client_t* native, const char* error) {
    auto* self = static_cast<h2o_call*>(native->data);
    callback_scope callback(*self);
    auto* input = native->sock->input;
    // Framing alone, such as a chunk extension, is no progress.
    if (input->size != 0) {
        self->last_progress = self->loop.time().now();
        const auto size = input->size;
        if (size > narrow_receive_buffer_bytes)
            self->narrow_receive_buffer();
        self->body_bytes += size;
        if (self->max_body_bytes != 0 && self->body_bytes > self->max_body_bytes) {
            native->sockpool.pool = nullptr;
            self->native = nullptr;
            self->fail(kernel::error_kind::target_failed, "the response body is too large",
                       kernel::response_fault::body_size);
            return -1;
        }
        self->listener.on_body({input->bytes, size});
        if (callback.call_destroyed)
            return -1;
        h2o_buffer_consume(&native->sock->input, size);
    }
    if (error == nullptr) {
        if (self->is_body_intercepted())
            self->intercept_body();
        if (self->paused && self->paused_reader == nullptr)
            self->pause();
        return 0;
    }
    if (error != h2o_http1client_error_is_eos || self->closed_early) {
        self->native = nullptr;
        self->fail(kernel::error_kind::answer_truncated, "the connection ended within the answer",
                   kernel::response_fault::cut_in_body);
        return -1;
    }
    self->complete();
    return 0;
}

void h2o_call::complete() {
    this->completed = std::exchange(this->native, nullptr);
    this->current_phase = phase::finished;
    this->loop.cancel(std::exchange(this->timer, 0));
    // The listener may destroy the call.
    auto* const current_scope = this->scope;
    this->listener.on_done();
    if (!current_scope->call_destroyed)
        this->completed = nullptr;
}

// h2o closes a connection that has no pool.
void h2o_call::discard_connection() {
    if (auto* client = this->native != nullptr ? this->native : this->completed)
        client->sockpool.pool = nullptr;
}

bool h2o_call::is_body_intercepted() const {
    const auto end = this->reader.end();
    return end == response_reader::body_end::chunks || end == response_reader::body_end::close;
}

void h2o_call::pause() {
    this->paused = true;
    if (this->native == nullptr || this->native->sock == nullptr ||
        this->current_phase != phase::reading_body || !h2o_socket_is_reading(this->native->sock))
        return;
    this->paused_reader = this->native->sock->_cb.read;
    h2o_socket_read_stop(this->native->sock);
    this->narrow_receive_buffer();
}

void h2o_call::narrow_receive_buffer() {
    if (std::exchange(this->is_narrow, true))
        return;
    const auto size = static_cast<int>(narrow_receive_buffer_bytes);
    setsockopt(h2o_socket_get_fd(this->native->sock), SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
}

void h2o_call::resume() {
    this->paused = false;
    this->last_progress = this->loop.time().now();
    auto reader = std::exchange(this->paused_reader, nullptr);
    if (this->native != nullptr && reader != nullptr)
        h2o_socket_read_start(this->native->sock, reader);
}

} // namespace samphirespool::http
