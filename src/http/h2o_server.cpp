// Accepts connections and closes those that are needed least; h2o's callbacks.
#include "http/h2o_server.hpp"

#include "http/error_response.hpp"
#include "http/socket_address.hpp"

#include <h2o/http1.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <limits>
#include <utility>

namespace samphirespool::http {

namespace {

constexpr int listen_backlog = 4096;
constexpr int accepts_per_wakeup = 64;
constexpr auto accept_pause = std::chrono::milliseconds(100);
// The part (1/n) of the connections that may linger after a refusal.
constexpr std::size_t lingering_divisor = 2;
// h2o's own timeout of a request, which is kept from h2o until it is complete.
constexpr std::uint64_t unused_timeout_ms = 24ULL * 3'600'000;
constexpr auto sweep_interval = std::chrono::seconds(1);
constexpr std::string_view server_name = "samphirespool";
constexpr std::string_view outcome_header = "x-outcome";
constexpr std::string_view overload_response =
    "HTTP/1.1 503 Service Unavailable\r\ncontent-type: application/json\r\nretry-after: 1\r\n"
    "x-outcome: not run\r\nconnection: close\r\n\r\n"
    R"({"error":{"code":"queue_full","message":"too many connections","outcome":"not run","request_id":"","retry_after_ms":1000}})";
// Output stream that replaces h2o's plain-text body with a JSON error body.
struct error_body_stream {
    h2o_ostream_t super;
    h2o_iovec_t body;
};

kernel::error_kind error_kind_for_status(int status) {
    constexpr std::array<kernel::error_kind, 4> kinds{
        kernel::error_kind::payload_too_large, kernel::error_kind::header_too_large,
        kernel::error_kind::request_timeout, kernel::error_kind::bad_request};
    const auto match = std::find_if(kinds.begin(), kinds.end(), [status](kernel::error_kind kind) {
        return kernel::error_mapping_for(kind).http_status == status;
    });
    return match == kinds.end() ? kernel::error_kind::bad_request : *match;
}

void send_error_body(h2o_ostream_t* self, h2o_req_t* request, h2o_iovec_t*, size_t,
                     h2o_send_state_t state) {
    auto& body = reinterpret_cast<error_body_stream*>(self)->body;
    h2o_ostream_send_next(self, request, &body, body.len > 0 ? 1 : 0, state);
    body.len = 0;
}

kernel::error system_error(std::string_view message, const helpers::endpoint& address) {
    return {kernel::error_kind::invalid_settings,
            std::string(message) + " " + helpers::to_string(address) + ": " + std::strerror(errno)};
}

void set_receive_buffer(int descriptor, std::size_t bytes) {
    const auto size = static_cast<int>(bytes);
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
}

int open_listener(const helpers::endpoint& endpoint, std::size_t receive_buffer,
                  kernel::error& reason) {
    const auto address = socket_address::of(endpoint);
    const int descriptor =
        socket(address.family(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, IPPROTO_TCP);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    // Accepted connections inherit it.
    set_receive_buffer(descriptor, receive_buffer);
    if (bind(descriptor, address.get(), address.size()) == 0 &&
        ::listen(descriptor, listen_backlog) == 0)
        return descriptor;
    reason = system_error("cannot listen on", endpoint);
    close(descriptor);
    return -1;
}

} // namespace

std::unique_ptr<h2o_server> h2o_server::listen(const server_context& context,
                                               const helpers::endpoint& address,
                                               const server_limits& limits,
                                               exchange_handler handler, kernel::error& reason) {
    const int descriptor = open_listener(address, limits.receive_buffer, reason);
    if (descriptor < 0)
        return nullptr;
    return std::unique_ptr<h2o_server>(
        new h2o_server(context, limits, std::move(handler), descriptor));
}

h2o_server::h2o_server(const server_context& context, const server_limits& limits,
                       exchange_handler handler, int descriptor)
    : keys(context.keys),
      lingering(context.loop, std::max<std::size_t>(1, limits.max_connections / lingering_divisor),
                limits.reserved_from),
      services{context.loop,     limits,          context.policy,
               context.memory,   this->lingering, std::move(handler),
               this->state->open},
      bound_port(socket_address::local_port(descriptor)) {
    this->setup_h2o();
    this->listener =
        h2o_evloop_socket_create(context.loop.native(), descriptor, H2O_SOCKET_FLAG_DONT_READ);
    this->listener->data = this;
    h2o_socket_read_start(this->listener, on_accept);
    this->sweep_timer = context.loop.schedule(sweep_interval, [this] { this->sweep(); });
}

// h2o closes connections only from the event loop. If some are still open, the state that they
// refer to is therefore not freed, and their pointers to this server are cleared.
h2o_server::~h2o_server() {
    this->stop_accepting();
    this->services.loop.cancel(this->sweep_timer);
    this->state->handler->owner = nullptr;
    this->state->rejections->owner = nullptr;
    if (this->state->open.empty()) {
        h2o_context_dispose(&this->state->context);
        h2o_config_dispose(&this->state->configuration);
        return;
    }
    for (auto& each : this->state->open)
        each.abandon();
    static_cast<void>(this->state.release());
}

void h2o_server::setup_h2o() {
    auto& configuration = this->state->configuration;
    h2o_config_init(&configuration);
    configuration.server_name = h2o_iovec_init(server_name.data(), server_name.size());
    configuration.http1.upgrade_to_http2 = 0;
    configuration.http1.req_timeout = unused_timeout_ms;
    auto* host =
        h2o_config_register_host(&configuration, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    auto* path = h2o_config_register_path(host, "/", 0);
    this->state->handler =
        reinterpret_cast<request_handler*>(h2o_create_handler(path, sizeof(request_handler)));
    this->state->handler->super.on_req = on_request;
    this->state->handler->owner = this;
    this->state->rejections = reinterpret_cast<rejection_filter*>(
        h2o_create_filter(&host->fallback_path, sizeof(rejection_filter)));
    this->state->rejections->super.on_setup_ostream = on_h2o_rejection;
    this->state->rejections->owner = this;
    h2o_context_init(&this->state->context, this->services.loop.native(), &configuration);
    this->state->accept_context.ctx = &this->state->context;
    this->state->accept_context.hosts = configuration.hosts;
}

void h2o_server::stop_accepting() {
    if (this->listener == nullptr)
        return;
    // The kernel resets connections that are still in the accept queue when the listener closes.
    this->accept_pending(std::numeric_limits<int>::max());
    this->services.loop.cancel(this->accept_timer);
    h2o_socket_close(std::exchange(this->listener, nullptr));
    this->state->context.shutdown_requested = 1;
    for (auto& each : this->state->open)
        each.close_if_idle();
}

std::size_t h2o_server::responses_in_progress() const {
    const auto& open = this->state->open;
    return static_cast<std::size_t>(std::count_if(
        open.begin(), open.end(), [](const auto& each) { return each.active != nullptr; }));
}

bool h2o_server::has_unanswered() const {
    const auto& open = this->state->open;
    return std::any_of(open.begin(), open.end(),
                       [](const auto& each) { return each.has_unanswered(); });
}

void h2o_server::on_accept(h2o_socket_t* listener, const char* error) {
    if (error == nullptr)
        static_cast<h2o_server*>(listener->data)->accept_pending(accepts_per_wakeup);
}

void h2o_server::accept_pending(int most) {
    for (int i = 0; i < most; ++i) {
        errno = 0;
        auto* socket = h2o_evloop_socket_accept(this->listener);
        if (socket == nullptr) {
            if (errno == EMFILE || errno == ENFILE || errno == ENOMEM || errno == ENOBUFS)
                this->pause_accepting();
            return;
        }
        this->accept(socket);
    }
}

void h2o_server::pause_accepting() {
    h2o_socket_read_stop(this->listener);
    this->accept_timer = this->services.loop.schedule(accept_pause, [this] {
        this->accept_timer = 0;
        h2o_socket_read_start(this->listener, on_accept);
    });
}

void h2o_server::accept(h2o_socket_t* socket) {
    const int descriptor = h2o_socket_get_fd(socket);
    const auto& limits = this->services.limits;
    const bool is_full = this->state->open.size() >= limits.max_connections ||
                         static_cast<std::size_t>(descriptor) >= limits.reserved_from;
    if (is_full && !this->close_one()) {
        ++this->refused;
        if (this->keys == nullptr)
            send(descriptor, overload_response.data(), overload_response.size(),
                 MSG_DONTWAIT | MSG_NOSIGNAL);
        h2o_socket_close(socket);
        return;
    }
    auto& open = this->state->open;
    open.emplace_back(this->services, socket);
    open.back().start(std::prev(open.end()), this->state->accept_context,
                      this->keys == nullptr ? nullptr : this->keys->context());
}

bool h2o_server::close_one() {
    const auto now = this->services.loop.time().now();
    server_connection* found = nullptr;
    auto best = server_connection::disposability::needed;
    // The oldest of those that are closed first.
    for (auto& each : this->state->open) {
        const auto readiness = each.readiness_to_close(now);
        if (readiness >= best)
            continue;
        best = readiness;
        found = &each;
        if (best == server_connection::disposability::silent)
            break;
    }
    if (found == nullptr)
        return false;
    ++this->replaced;
    found->close_for_another();
    return true;
}

// Runs for requests that h2o rejects before they reach a handler.
void h2o_server::on_h2o_rejection(h2o_filter_t* self, h2o_req_t* request, h2o_ostream_t** next) {
    auto* owner = reinterpret_cast<rejection_filter*>(self)->owner;
    const auto outcome = kernel::to_string(kernel::request_outcome::not_run);
    h2o_add_header_by_str(&request->pool, &request->res.headers, outcome_header.data(),
                          outcome_header.size(), 0, nullptr, outcome.data(), outcome.size());
    const auto text = error_body({{error_kind_for_status(request->res.status), ""}});
    h2o_set_header(&request->pool, &request->res.headers, H2O_TOKEN_CONTENT_TYPE,
                   H2O_STRLIT("application/json"), 1);
    request->res.content_length = text.size();
    auto* stream = reinterpret_cast<error_body_stream*>(
        h2o_add_ostream(request, sizeof(error_body_stream), next));
    stream->super.do_send = send_error_body;
    stream->body = h2o_strdup(&request->pool, text.data(), text.size());
    next = &stream->super.next;
    if (owner != nullptr)
        owner->lingering.linger(
            h2o_socket_get_fd(request->conn->callbacks->get_socket(request->conn)));
    h2o_setup_next_ostream(request, next);
}

int h2o_server::on_request(h2o_handler_t* self, h2o_req_t* request) {
    auto* owner = reinterpret_cast<request_handler*>(self)->owner;
    if (owner == nullptr)
        return -1;
    server_connection::of(*request).handle(*request);
    return 0;
}

void h2o_server::sweep() {
    const auto now = this->services.loop.time().now();
    // A connection may close while it is checked.
    for (auto each = this->state->open.begin(); each != this->state->open.end();)
        (each++)->check_timeouts(now);
    this->sweep_timer = this->services.loop.schedule(sweep_interval, [this] { this->sweep(); });
}

} // namespace samphirespool::http
