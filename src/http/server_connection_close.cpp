// How a connection ends early: refusals, timeouts, eviction, and closing to make room for others.
#include "http/server_connection.hpp"

#include <sys/ioctl.h>
#include <sys/socket.h>

#include <utility>

namespace samphirespool::http {

namespace {

bool has_received_bytes(h2o_socket_t* socket) {
    int count = 0;
    return socket->input->size != 0 ||
           (ioctl(h2o_socket_get_fd(socket), FIONREAD, &count) == 0 && count > 0);
}

} // namespace

void server_connection::on_ignored(h2o_socket_t*, const char*) {}

void server_connection::refuse(error_response response, std::string_view event) {
    this->services->loop.cancel(std::exchange(this->timer, 0));
    this->refusal = std::move(response);
    if (!event.empty())
        this->report(event);
    this->intake.discard();
    this->pending = {};
    h2o_socket_read_stop(this->socket);
    if (!this->is_writing_continue)
        this->deliver();
}

void server_connection::report(std::string_view reason) const {
    intake_event event;
    event.reason = reason;
    if (this->refusal) {
        event.code = kernel::error_mapping_for(this->refusal->reason.kind).code;
        event.request_id = this->refusal->request_id;
    }
    event.held = this->held();
    event.used = this->services->memory.used();
    event.connections = this->services->open.size();
    event.stalled = this->services->loop.time().now() - this->progress_at;
    this->services->policy.on_event(event);
}

void server_connection::check_timeouts(helpers::time_point now) {
    const auto& server = this->services->limits;
    const int descriptor = h2o_socket_get_fd(this->socket);
    const auto in_phase = now - this->phase_began_at;
    if (this->active != nullptr) {
        const auto stalled = this->active->stalled_since();
        if (stalled && now - *stalled > server.idle_timeout)
            shutdown(descriptor, SHUT_RDWR);
        return;
    }
    if (this->current == phase::handshake) {
        if (in_phase > server.request.header_timeout)
            shutdown(descriptor, SHUT_RDWR);
        return;
    }
    // h2o's own error response, which the caller does not read.
    if (this->current == phase::delivered && in_phase > server.idle_timeout)
        shutdown(descriptor, SHUT_RDWR);
    if (this->current != phase::receiving)
        return;
    if (this->intake.is_idle()) {
        if (in_phase > server.idle_timeout)
            shutdown(descriptor, SHUT_RDWR);
        return;
    }
    const bool is_late = this->is_judged
                             ? in_phase > this->body_timeout ||
                                   now - this->last_byte_at > this->limits.body_stall_timeout
                             : in_phase > this->limits.header_timeout;
    if (is_late)
        this->refuse({{kernel::error_kind::request_timeout, "the request did not arrive in time"}},
                     this->is_judged ? "body_timeout" : "header_timeout");
}

void server_connection::close_if_idle() {
    if (this->active == nullptr && !this->has_unanswered())
        shutdown(h2o_socket_get_fd(this->socket), SHUT_RDWR);
}

bool server_connection::has_unanswered() const {
    return this->active != nullptr || !this->intake.is_idle() || !this->pending.empty() ||
           has_received_bytes(this->socket);
}

void server_connection::abandon() {
    this->services->loop.cancel(std::exchange(this->timer, 0));
    this->services->memory.release(*this);
    this->services = nullptr;
    shutdown(h2o_socket_get_fd(this->socket), SHUT_RDWR);
}

server_connection::disposability
server_connection::readiness_to_close(helpers::time_point now) const {
    constexpr helpers::duration stuck_after = std::chrono::seconds(1);
    if (this->current == phase::handshake)
        return disposability::silent;
    if (this->current != phase::receiving)
        return disposability::needed;
    if (!this->intake.is_idle())
        return now - this->last_byte_at > stuck_after ? disposability::stuck
                                                      : disposability::needed;
    if (has_received_bytes(this->socket))
        return disposability::needed;
    if (!this->was_used)
        return disposability::silent;
    return now - this->phase_began_at > this->services->policy.limits().idle_timeout
               ? disposability::outdated
               : disposability::needed;
}

void server_connection::close_for_another() {
    this->report("closed_for_another");
    if (this->current == phase::handshake)
        h2o_socket_close(this->socket);
    else if (!this->intake.is_idle())
        this->refuse_later("too many connections");
    else
        this->h2o_reader(this->socket, h2o_socket_error_closed);
}

std::optional<helpers::time_point> server_connection::stalled_since() const {
    if (this->active != nullptr)
        return this->active->stalled_since();
    if (this->current == phase::receiving)
        return this->progress_at;
    return std::nullopt;
}

std::size_t server_connection::evictable() const {
    if (this->active != nullptr)
        return this->handler_bytes + this->active->buffered();
    return this->current == phase::receiving || this->current == phase::paused ? this->held() : 0;
}

void server_connection::evict() {
    this->report("evicted");
    this->is_evicted = true;
    if (this->active != nullptr) {
        this->active->evict();
        return;
    }
    this->intake.discard();
    this->pending = {};
    this->refuse_later("no memory for the request");
}

void server_connection::refuse_later(std::string_view reason) {
    // h2o may be about to run the reader.
    if (this->current == phase::receiving) {
        this->socket->_cb.read = on_ignored;
        h2o_socket_dont_read(this->socket, 1);
    }
    this->current = phase::refused;
    this->services->loop.cancel(this->timer);
    this->timer = this->services->loop.schedule(helpers::duration::zero(),
                                                [this, text = std::string(reason)] {
                                                    this->timer = 0;
                                                    auto response = this->no_memory();
                                                    response.reason.detail = text;
                                                    this->refuse(std::move(response), "");
                                                });
}

error_response server_connection::no_memory() const {
    error_response response;
    response.reason = {kernel::error_kind::queue_full, "no memory for the request"};
    response.retry_after = this->retry_after;
    return response;
}

} // namespace samphirespool::http
