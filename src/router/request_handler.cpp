// Dispatches callers' requests to the health check or to a routed_request.
#include "router/request_handler.hpp"

#include "http/error_response.hpp"

namespace samphirespool::router {

namespace {

using kernel::error_kind;

constexpr std::string_view health_path = "/healthz";
constexpr int status_ok = 200;
constexpr int status_unavailable = 503;

} // namespace

void request_handler::handle(std::unique_ptr<http::exchange> incoming) {
    if (incoming->request().path == health_path)
        this->respond_health(*incoming);
    else if (auto reason = this->fault())
        this->reject(*incoming, std::move(*reason));
    else
        this->accept(std::move(incoming));
}

std::optional<kernel::error> request_handler::fault() const {
    if (this->shutting_down)
        return kernel::error{error_kind::shutting_down, "this router is leaving"};
    if (!this->ready || this->context.fleet.index() == nullptr)
        return kernel::error{error_kind::not_ready, "this router is starting"};
    if (this->requests.size() >= this->context.limits.max_requests_in_progress)
        return kernel::error{error_kind::queue_full, "too many requests in progress"};
    return std::nullopt;
}

std::optional<kernel::error> request_handler::judge(const http::server_request& head) const {
    if (head.path == health_path)
        return std::nullopt;
    if (auto reason = this->fault())
        return reason;
    return judge_head(head, this->context.fleet.index());
}

void request_handler::respond_health(http::exchange& incoming) const {
    const bool healthy =
        this->ready && !this->shutting_down && this->context.fleet.index() != nullptr;
    const auto* state = this->shutting_down ? "leaving" : healthy ? "ready" : "starting";
    incoming.respond(healthy ? status_ok : status_unavailable,
                     {{"content-type", "application/json"}},
                     std::string("{\"status\":\"") + state + "\"}");
}

void request_handler::accept(std::unique_ptr<http::exchange> incoming) {
    kernel::error reason;
    auto parsed =
        parse_caller_request(incoming->request(), this->context.fleet.index(),
                             this->context.loop.time(), this->context.limits.max_deadline, reason);
    if (!parsed) {
        this->reject(*incoming, std::move(reason));
        return;
    }
    ++this->context.counters.accepted;
    const auto sequence = ++this->last_sequence;
    const helpers::request_id id{this->context.self.id, this->context.self.incarnation, sequence};
    auto& request = this->requests[sequence];
    request = std::make_unique<routed_request>(
        this->context, id, std::move(incoming), std::move(*parsed), [this, sequence] {
            // The request calls this from one of its own methods, so it is destroyed later.
            this->context.loop.post([this, sequence] { this->requests.erase(sequence); });
        });
    request->start();
}

void request_handler::reject(http::exchange& incoming, kernel::error reason) {
    ++this->context.counters.not_run;
    http::respond_with_error(incoming, {std::move(reason), kernel::request_outcome::not_run, ""});
}

void request_handler::abort_unanswered() {
    for (auto& [sequence, request] : this->requests)
        request->abort({error_kind::shutting_down, "this router is leaving"});
}

} // namespace samphirespool::router
