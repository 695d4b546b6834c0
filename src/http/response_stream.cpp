// Passes a response to h2o and detects when the caller disconnects.
#include "http/response_stream.hpp"

#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <limits>
#include <new>
#include <utility>

namespace samphirespool::http {

namespace {

// Size line of a chunk that is never sent; it makes an aborted response invalid. Some clients treat
// a connection closed between two chunks as the end of the response, and some treat h2o's own error
// marker as data.
constexpr std::string_view incomplete_chunk = "1\r\n";
// Interval of the disconnect check on a connection with unread pipelined bytes.
constexpr auto recheck_interval = std::chrono::milliseconds(250);
constexpr int http_1_1 = 0x101;
// nginx's status for a client that closed the connection; never reaches a caller.
constexpr int status_client_closed_request = 499;

struct status_text {
    int status;
    const char* text;
};

constexpr std::array<status_text, 24> status_texts{{
    {200, "OK"},
    {201, "Created"},
    {202, "Accepted"},
    {204, "No Content"},
    {301, "Moved Permanently"},
    {302, "Found"},
    {304, "Not Modified"},
    {400, "Bad Request"},
    {401, "Unauthorized"},
    {403, "Forbidden"},
    {404, "Not Found"},
    {405, "Method Not Allowed"},
    {408, "Request Timeout"},
    {409, "Conflict"},
    {410, "Gone"},
    {412, "Precondition Failed"},
    {413, "Payload Too Large"},
    {422, "Unprocessable Entity"},
    {429, "Too Many Requests"},
    {431, "Request Header Fields Too Large"},
    {500, "Internal Server Error"},
    {502, "Bad Gateway"},
    {503, "Service Unavailable"},
    {504, "Gateway Timeout"},
}};

const char* reason_phrase(int status) {
    for (const auto& entry : status_texts)
        if (entry.status == status)
            return entry.text;
    return "Other";
}

// Makes closing the socket send a reset, so that the caller sees an error and not a regular end.
void reset_on_close(int fd) {
    const linger option{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

bool peer_has_closed(int fd) {
    pollfd entry{fd, POLLRDHUP, 0};
    if (poll(&entry, 1, 0) <= 0)
        return false;
    return (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

} // namespace

response_stream* response_stream::attach(h2o_req_t& request, kernel::loop& loop,
                                         connection_record& connection) {
    auto* memory = h2o_mem_alloc_shared(&request.pool, sizeof(pool_entry), dispose);
    auto* allocated = new (memory) pool_entry{};
    allocated->stream = new response_stream(request, loop, connection);
    allocated->generator.proceed = proceed;
    allocated->generator.stop = nullptr;
    allocated->stream->generator = &allocated->generator;
    connection.active = allocated->stream;
    allocated->stream->watch_for_disconnect();
    return allocated->stream;
}

void response_stream::dispose(void* memory) {
    delete static_cast<pool_entry*>(memory)->stream;
}

response_stream::~response_stream() {
    this->loop.cancel(this->head_timer);
    this->loop.cancel(this->recheck_timer);
    this->connection.active = nullptr;
    this->connection.request_destroyed();
    if (this->stream_owner == nullptr)
        return;
    auto* notified_owner = std::exchange(this->stream_owner, nullptr);
    const bool complete = this->final_state == H2O_SEND_STATE_FINAL && this->pending.empty();
    if (!complete && !this->has_disconnected)
        notified_owner->stream_disconnected();
    notified_owner->stream_destroyed();
}

h2o_socket_t* response_stream::socket() const {
    return this->request.conn->callbacks->get_socket(this->request.conn);
}

// h2o does not read while a response is in progress, so it would notice a disconnect only when a
// write fails.
void response_stream::watch_for_disconnect() {
    auto* socket = this->socket();
    this->watching = true;
    h2o_socket_dont_read(socket, 1);
    h2o_socket_read_start(socket, on_readable);
}

void response_stream::stop_watching() {
    this->loop.cancel(std::exchange(this->recheck_timer, 0));
    if (!this->watching)
        return;
    this->watching = false;
    auto* socket = this->socket();
    h2o_socket_read_stop(socket);
    h2o_socket_dont_read(socket, 0);
}

void response_stream::on_readable(h2o_socket_t* socket, const char*) {
    const auto* record = static_cast<connection_record*>(socket->on_close.data);
    if (record->active != nullptr)
        record->active->check_disconnect();
}

void response_stream::check_disconnect() {
    auto* socket = this->socket();
    if (!peer_has_closed(h2o_socket_get_fd(socket))) {
        h2o_socket_read_stop(socket);
        this->recheck_timer = this->loop.schedule(recheck_interval, [this] {
            this->recheck_timer = 0;
            h2o_socket_read_start(this->socket(), on_readable);
        });
        return;
    }
    this->has_disconnected = true;
    if (this->stream_owner != nullptr)
        this->stream_owner->stream_disconnected();
    this->pending.clear();
    if (this->is_sending) {
        this->stop_watching();
        // Makes the write in progress fail, so that h2o closes the connection.
        shutdown(h2o_socket_get_fd(socket), SHUT_RDWR);
        return;
    }
    if (!this->has_begun)
        this->begin(status_client_closed_request, {}, 0);
    this->end(H2O_SEND_STATE_ERROR);
}

void response_stream::begin(int status, const header_list& headers,
                            std::optional<std::size_t> length) {
    if (this->has_begun)
        return;
    this->has_begun = true;
    this->request.res.status = status;
    this->request.res.reason = reason_phrase(status);
    if (length)
        this->request.res.content_length = *length;
    auto* pool = &this->request.pool;
    for (const auto& field : headers) {
        const auto name = h2o_strdup(pool, field.name.data(), field.name.size());
        const auto value = h2o_strdup(pool, field.value.data(), field.value.size());
        h2o_add_header_by_str(pool, &this->request.res.headers, name.base, name.len, 1, nullptr,
                              value.base, value.len);
    }
    h2o_start_response(&this->request, this->generator);
    // The head is sent with the first data, or in the next loop iteration if there is none.
    this->head_timer = this->loop.schedule(helpers::duration::zero(), [this] {
        this->head_timer = 0;
        if (!this->is_sending && this->final_state == H2O_SEND_STATE_IN_PROGRESS)
            this->send_head();
    });
}

void response_stream::write(std::span<const char> data) {
    if (this->final_state != H2O_SEND_STATE_IN_PROGRESS || data.empty())
        return;
    this->pending.append(data.data(), data.size());
    if (!this->is_sending)
        this->flush();
    this->connection.buffered_changed();
}

void response_stream::write_last(std::string_view rest) {
    if (this->final_state != H2O_SEND_STATE_IN_PROGRESS)
        return;
    this->pending.append(rest);
    this->end(H2O_SEND_STATE_FINAL);
}

void response_stream::abort_response() {
    if (this->final_state != H2O_SEND_STATE_IN_PROGRESS)
        return;
    this->request.http1_is_persistent = 0;
    if (this->has_begun)
        this->end(H2O_SEND_STATE_ERROR);
    else
        // Nothing was sent yet. The disconnect check notices the shutdown and closes the
        // connection.
        shutdown(h2o_socket_get_fd(this->socket()), SHUT_RDWR);
}

void response_stream::evict() {
    this->request.http1_is_persistent = 0;
    const bool is_broken_off = this->has_begun;
    if (this->stream_owner == nullptr || !this->stream_owner->stream_evicted())
        this->abort_response();
    if (!is_broken_off)
        return;
    this->pending.clear();
    // Makes the write in progress fail, so that h2o closes the connection.
    const int descriptor = h2o_socket_get_fd(this->socket());
    reset_on_close(descriptor);
    shutdown(descriptor, SHUT_RDWR);
}

void response_stream::end(h2o_send_state_t state) {
    if (this->final_state != H2O_SEND_STATE_IN_PROGRESS)
        return;
    this->final_state = state;
    if (!this->is_sending)
        this->flush();
}

// h2o's filters hold back an empty write, so the head is passed to the last output stream directly.
void response_stream::send_head() {
    this->is_sending = true;
    this->sending_since = this->loop.time().now();
    this->send_past_filters(H2O_SEND_STATE_IN_PROGRESS);
}

void response_stream::send_past_filters(h2o_send_state_t state) {
    auto* last = this->request._ostr_top;
    while (last->next != nullptr)
        last = last->next;
    const bool is_error = state == H2O_SEND_STATE_ERROR;
    if (is_error && this->ends_by_close())
        reset_on_close(h2o_socket_get_fd(this->socket()));
    auto chunk = h2o_iovec_init(incomplete_chunk.data(), incomplete_chunk.size());
    if (is_error) {
        this->request._generator = nullptr;
        this->request._ostr_top = last;
    }
    last->do_send(last, &this->request, &chunk, is_error && this->is_chunked() ? 1 : 0, state);
}

bool response_stream::has_length() const {
    return this->request.res.content_length != std::numeric_limits<std::size_t>::max();
}

bool response_stream::is_chunked() const {
    return !this->has_length() && this->request.version >= http_1_1;
}

bool response_stream::ends_by_close() const {
    return !this->has_length() && this->request.version < http_1_1;
}

// Precondition: no write is in progress, and the final state was not passed to h2o before.
void response_stream::flush() {
    this->loop.cancel(std::exchange(this->head_timer, 0));
    this->in_flight.clear();
    std::swap(this->in_flight, this->pending);
    this->is_sending = true;
    this->sending_since = this->loop.time().now();
    auto state = this->final_state;
    if (state == H2O_SEND_STATE_ERROR && !this->in_flight.empty())
        state = H2O_SEND_STATE_IN_PROGRESS;
    if (state != H2O_SEND_STATE_IN_PROGRESS)
        this->stop_watching();
    // The last call can destroy the request, and this object with it.
    if (state == H2O_SEND_STATE_ERROR) {
        this->request.http1_is_persistent = 0;
        this->send_past_filters(state);
        return;
    }
    auto data = h2o_iovec_init(this->in_flight.data(), this->in_flight.size());
    h2o_send(&this->request, &data, this->in_flight.empty() ? 0 : 1, state);
}

void response_stream::proceed(h2o_generator_t* generator, h2o_req_t*) {
    reinterpret_cast<pool_entry*>(generator)->stream->on_write_complete();
}

void response_stream::on_write_complete() {
    this->is_sending = false;
    this->in_flight.clear();
    if (!this->pending.empty() || this->final_state != H2O_SEND_STATE_IN_PROGRESS) {
        this->flush();
        return;
    }
    this->connection.buffered_changed();
    if (this->stream_owner != nullptr)
        this->stream_owner->stream_drained();
}

std::optional<helpers::time_point> response_stream::stalled_since() const {
    if (!this->is_sending)
        return std::nullopt;
    return this->sending_since;
}

} // namespace samphirespool::http
