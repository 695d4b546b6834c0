// Reads and judges the requests of a connection. Timeouts and eviction are in
// server_connection_close.cpp.
#include "http/server_connection.hpp"

#include "http/h2o_exchange.hpp"
#include "http/request_head.hpp"

#include <h2o/http1.h>
#include <sys/socket.h>
#include <sys/time.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

namespace samphirespool::http {

namespace {

constexpr std::size_t read_bytes = std::size_t{16} << 10;
constexpr int reads_per_turn = 4;
constexpr auto pause_interval = std::chrono::milliseconds(50);
// Receive buffer while a body arrives that is longer than the usual one, and the memory that a
// connection with it takes: of the kernel, and of h2o, which decrypts all that the kernel has.
constexpr std::size_t wide_receive_buffer = std::size_t{64} << 10;
constexpr std::size_t wide_plain_bytes = 2 * wide_receive_buffer;
constexpr std::size_t wide_secure_bytes = 6 * wide_receive_buffer;
constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
// Stands for a request that is refused before it is complete. Its fields are never read.
constexpr std::string_view placeholder_head = "GET / HTTP/1.1\r\nhost: refused\r\n\r\n";

} // namespace

server_connection::server_connection(connection_services& services, h2o_socket_t* socket)
    : services(&services),
      socket(socket),
      progress_at(services.loop.time().now()),
      last_byte_at(progress_at),
      phase_began_at(progress_at) {}

server_connection::~server_connection() {
    if (this->services == nullptr)
        return;
    this->services->loop.cancel(this->timer);
    this->services->memory.release(*this);
}

server_connection& server_connection::of(h2o_socket_t* socket) {
    return static_cast<server_connection&>(*static_cast<connection_record*>(socket->on_close.data));
}

server_connection& server_connection::of(h2o_req_t& request) {
    return of(request.conn->callbacks->get_socket(request.conn));
}

void server_connection::on_close(void* record) {
    auto& self = static_cast<server_connection&>(*static_cast<connection_record*>(record));
    // The record outlives a server that was destroyed before; see abandon().
    if (self.services != nullptr)
        self.services->open.erase(self.place);
}

void server_connection::start(std::list<server_connection>::iterator own_place,
                              h2o_accept_ctx_t& accepted_with, SSL_CTX* keys) {
    this->place = own_place;
    this->accept_context = &accepted_with;
    this->socket->on_close.cb = on_close;
    this->socket->on_close.data = static_cast<connection_record*>(this);
    if (keys == nullptr) {
        this->start_http();
        return;
    }
    this->is_secure = true;
    h2o_socket_ssl_handshake(this->socket, keys, nullptr, on_handshake);
}

void server_connection::on_handshake(h2o_socket_t* socket, const char* error) {
    auto& self = of(socket);
    if (error != nullptr || self.services == nullptr)
        h2o_socket_close(socket);
    else
        self.start_http();
}

void server_connection::start_http() {
    // What was received with the end of a handshake is not for h2o to read.
    this->take_decrypted();
    timeval now{};
    gettimeofday(&now, nullptr);
    h2o_http1_accept(this->accept_context, this->socket, now);
    this->begin_request();
}

void server_connection::request_destroyed() {
    this->request_bytes = 0;
    this->handler_bytes = 0;
    this->schedule_next_request();
}

void server_connection::schedule_next_request() {
    if (this->services == nullptr)
        return;
    this->current = phase::between;
    this->services->loop.cancel(this->timer);
    this->timer = this->services->loop.schedule(helpers::duration::zero(), [this] {
        this->timer = 0;
        this->begin_request();
    });
}

void server_connection::begin_request() {
    auto& reader = this->socket->_cb.read;
    // h2o is closing the connection.
    if (this->active != nullptr || reader == nullptr)
        return;
    this->h2o_reader = std::exchange(reader, on_readable);
    // Plain connections are read here, in parts of a known size.
    if (!this->is_secure)
        h2o_socket_dont_read(this->socket, 1);
    if (this->socket->input->size == 0)
        this->free_input();
    this->current = phase::receiving;
    this->is_evicted = false;
    this->is_judged = false;
    this->retry_after.reset();
    this->phase_began_at = this->services->loop.time().now();
    this->count_held();
    if (const auto received = std::exchange(this->pending, {}); !received.empty()) {
        if (!this->process(received))
            return;
    }
    if (this->is_secure && this->socket->input->size != 0)
        this->receive();
}

// h2o keeps the largest buffer that the connection has needed.
void server_connection::free_input() {
    h2o_buffer_dispose(&this->socket->input);
    h2o_buffer_init(&this->socket->input, &h2o_socket_buffer_prototype);
}

void server_connection::on_readable(h2o_socket_t* socket, const char* error) {
    auto& self = of(socket);
    if (self.services == nullptr || error != nullptr)
        self.h2o_reader(socket, error == nullptr ? h2o_socket_error_closed : error);
    else
        self.receive();
}

std::optional<std::string_view> server_connection::read_some() {
    static std::array<char, read_bytes> buffer;
    if (this->is_secure) {
        auto& input = this->socket->input;
        if (input->size == 0)
            return std::nullopt;
        const auto count = std::min(input->size, buffer.size());
        std::memcpy(buffer.data(), input->bytes, count);
        h2o_buffer_consume(&input, count);
        return std::string_view(buffer.data(), count);
    }
    const auto count =
        recv(h2o_socket_get_fd(this->socket), buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (count < 0)
        return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR
                   ? std::nullopt
                   : std::optional(std::string_view());
    return std::string_view(buffer.data(), static_cast<std::size_t>(count));
}

void server_connection::receive() {
    for (int i = 0; i < reads_per_turn && this->current == phase::receiving; ++i) {
        if (this->intake.is_idle())
            this->limits = this->services->policy.limits();
        if (!this->reserve_memory(this->intake.held_after(read_bytes, this->limits))) {
            this->pause();
            return;
        }
        this->intake.make_room(read_bytes, this->limits);
        const auto data = this->read_some();
        if (!data)
            break;
        if (data->empty()) {
            this->h2o_reader(this->socket, h2o_socket_error_closed);
            return;
        }
        if (!this->process(*data))
            return;
        this->widen_for_long_body();
        if (data->size() < read_bytes)
            break;
    }
    if (this->is_secure && this->socket->input->size == 0)
        this->free_input();
    this->count_held();
    if (this->is_secure && this->current == phase::receiving && this->socket->input->size != 0)
        this->receive_rest_later();
}

// h2o decrypts all that the kernel has; nothing more is read before that is processed.
void server_connection::receive_rest_later() {
    h2o_socket_read_stop(this->socket);
    this->services->loop.cancel(this->timer);
    this->timer = this->services->loop.schedule(helpers::duration::zero(), [this] {
        this->timer = 0;
        h2o_socket_read_start(this->socket, on_readable);
        this->receive();
    });
}

bool server_connection::reserve_memory(std::size_t bytes) {
    return this->services->memory.try_hold(*this, this->total_held() - this->intake.held() + bytes);
}

bool server_connection::process(std::string_view data) {
    if (this->intake.is_idle()) {
        this->limits = this->services->policy.limits();
        this->phase_began_at = this->services->loop.time().now();
        this->first_byte_at = this->phase_began_at;
        this->was_used = true;
    }
    this->note_progress(data.size());
    while (true) {
        const auto progress = this->intake.append(data, this->limits);
        if (progress == request_intake::progress::invalid) {
            this->refuse({this->intake.fault()}, "invalid");
            return false;
        }
        if (progress == request_intake::progress::complete) {
            this->pending = data;
            // The request is delivered once the interim response was written.
            if (this->is_writing_continue)
                h2o_socket_read_stop(this->socket);
            else
                this->deliver();
            return false;
        }
        if (progress == request_intake::progress::incomplete)
            return !this->intake.has_head() || this->is_judged || this->judge();
    }
}

bool server_connection::judge() {
    this->is_judged = true;
    this->phase_began_at = this->services->loop.time().now();
    const auto head = parse_head(this->intake.head());
    const auto query_start = head.target.find('?');
    const auto query = query_start == std::string_view::npos ? std::string_view()
                                                             : head.target.substr(query_start + 1);
    auto decision = this->services->policy.judge(
        {head.method, head.authority, head.target.substr(0, query_start), query, {}, head.headers});
    if (decision.refusal) {
        this->refuse(std::move(*decision.refusal), "head_refused");
        return false;
    }
    this->body_timeout = decision.body_timeout.value_or(this->limits.body_timeout);
    this->retry_after = decision.retry_after;
    const auto length = this->intake.announced_length().value_or(0);
    if (!this->reserve_memory(this->intake.held() + length)) {
        this->services->memory.count_refused();
        this->refuse(this->no_memory(), "no_memory");
        return false;
    }
    this->intake.reserve_body(length);
    if (this->intake.expects_continue())
        this->send_continue();
    return true;
}

std::size_t server_connection::wide_bytes() const {
    return this->is_secure ? wide_secure_bytes : wide_plain_bytes;
}

void server_connection::widen_for_long_body() {
    if (this->is_wide || !this->is_judged ||
        this->intake.body_bytes() <= this->services->limits.receive_buffer ||
        this->services->limits.receive_buffer >= wide_receive_buffer)
        return;
    if (!this->reserve_memory(this->intake.held() + this->wide_bytes()))
        return;
    this->is_wide = true;
    this->set_receive_buffer(wide_receive_buffer);
}

void server_connection::set_receive_buffer(std::size_t bytes) {
    const auto size = static_cast<int>(bytes);
    setsockopt(h2o_socket_get_fd(this->socket), SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
}

void server_connection::send_continue() {
    this->is_writing_continue = true;
    auto text = h2o_iovec_init(continue_response.data(), continue_response.size());
    h2o_socket_write(this->socket, &text, 1, on_continue_written);
}

void server_connection::on_continue_written(h2o_socket_t* socket, const char* error) {
    auto& self = of(socket);
    self.is_writing_continue = false;
    if (error != nullptr || self.services == nullptr)
        self.h2o_reader(socket, h2o_socket_error_closed);
    else if (self.refusal || self.intake.is_complete())
        self.deliver();
}

void server_connection::pause() {
    const auto now = this->services->loop.time().now();
    if (this->current != phase::paused) {
        this->paused_at = now;
        this->current = phase::paused;
        h2o_socket_read_stop(this->socket);
    }
    this->services->loop.cancel(this->timer);
    this->timer = this->services->loop.schedule(pause_interval, [this] {
        this->timer = 0;
        this->retry_paused();
    });
}

void server_connection::retry_paused() {
    constexpr auto max_pause = std::chrono::seconds(2);
    if (this->services->loop.time().now() - this->paused_at > max_pause) {
        this->services->memory.count_refused();
        this->refuse(this->no_memory(), "no_memory");
        return;
    }
    if (!this->reserve_memory(this->intake.held_after(read_bytes, this->limits))) {
        this->pause();
        return;
    }
    this->current = phase::receiving;
    h2o_socket_read_start(this->socket, on_readable);
    this->receive();
}

void server_connection::deliver() {
    if (std::exchange(this->is_wide, false))
        this->set_receive_buffer(this->services->limits.receive_buffer);
    const auto head =
        this->refusal ? std::string(placeholder_head) : this->intake.head_without_framing();
    this->request_bytes = this->intake.held();
    this->body = this->intake.take();
    this->current = phase::delivered;
    this->services->loop.cancel(std::exchange(this->timer, 0));
    this->count_held();
    this->take_decrypted();
    if (this->refusal)
        this->pending = {};
    const auto room = h2o_buffer_reserve(&this->socket->input, head.size());
    std::memcpy(room.base, head.data(), head.size());
    this->socket->input->size += head.size();
    h2o_socket_dont_read(this->socket, 0);
    std::exchange(this->h2o_reader, nullptr)(this->socket, nullptr);
}

void server_connection::take_decrypted() {
    auto& input = this->socket->input;
    if (input->size == 0)
        return;
    this->pending.append(input->bytes, input->size);
    h2o_buffer_consume(&input, input->size);
}

void server_connection::handle(h2o_req_t& request) {
    auto* stream = response_stream::attach(request, this->services->loop, *this);
    auto incoming = std::make_unique<h2o_exchange>(request, *stream, std::move(this->body),
                                                   this->first_byte_at);
    if (this->refusal) {
        incoming->close_connection_after();
        this->services->lingering.linger(h2o_socket_get_fd(this->socket));
        respond_with_error(*incoming, *std::exchange(this->refusal, std::nullopt));
        return;
    }
    if (incoming->header_bytes() > this->limits.max_header_bytes) {
        respond_with_error(*incoming, {{kernel::error_kind::header_too_large, ""}});
        return;
    }
    this->services->handler(std::move(incoming));
}

void server_connection::note_progress(std::size_t bytes) {
    // A party that sends a few bytes now and then makes no progress.
    constexpr std::size_t notable_bytes = std::size_t{16} << 10;
    this->last_byte_at = this->services->loop.time().now();
    this->bytes_since_progress += bytes;
    if (!this->intake.is_idle() && this->bytes_since_progress < notable_bytes)
        return;
    this->bytes_since_progress = 0;
    this->progress_at = this->last_byte_at;
}

std::size_t server_connection::total_held() const {
    return this->intake.held() + this->pending.capacity() + this->request_bytes +
           this->handler_bytes + (this->is_wide ? this->wide_bytes() : 0) +
           (this->is_secure ? this->socket->input->size : 0) +
           (this->active == nullptr ? 0 : this->active->buffered());
}

void server_connection::count_held() {
    if (this->services == nullptr || this->is_evicted)
        return;
    if (this->active == nullptr && this->current != phase::delivered && this->intake.is_idle() &&
        this->pending.empty())
        this->services->memory.release(*this);
    else
        this->services->memory.hold(*this, this->total_held());
}

void server_connection::exchange_destroyed() {
    this->request_bytes = 0;
    this->handler_bytes = 0;
    this->count_held();
}

void server_connection::hold(std::size_t bytes) {
    this->handler_bytes = bytes;
    this->count_held();
}

} // namespace samphirespool::http
