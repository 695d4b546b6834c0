// Second half of a request: relays the response from the target to the caller, handles failed
// attempts, and finishes.
#include "http/error_response.hpp"
#include "router/routed_request.hpp"

#include <algorithm>
#include <utility>

namespace samphirespool::router {

namespace {

using kernel::error_kind;
using kernel::request_outcome;

// Above this the target's response is paused until the caller has received what was buffered for
// it.
constexpr std::size_t high_water_bytes = std::size_t{256} * 1024;
constexpr int status_ok = 200;
constexpr int first_server_error = 500;

// The less certain of two outcomes: the caller may conclude no more than both the request's state
// and the kind of error allow.
request_outcome less_certain(request_outcome a, request_outcome b) {
    return std::max(a, b);
}

} // namespace

bool routed_request::is_own_response(const http::header_list& headers) {
    if (http::find_header(headers, "x-request-id") == this->id_text)
        return true;
    ++this->context.counters.mismatched_responses;
    this->context.counters.response_faults.add(kernel::response_fault::other_request);
    this->context.events.write(kernel::severity::warning, "request.crossed_answer", this->id,
                               {{"target", helpers::to_string(this->current_attempt->address)}});
    return false;
}

void routed_request::on_head(int status, const http::header_list& headers) {
    auto& attempt = *this->current_attempt;
    attempt.first_byte = this->context.loop.time().now() - attempt.sent_at;
    if (!this->is_own_response(headers)) {
        attempt.call->discard_connection();
        this->attempt_failed({error_kind::target_failed, "the response belongs to another request",
                              kernel::response_fault::other_request},
                             true);
        return;
    }
    const auto type = http::find_header(headers, "content-type").value_or("");
    const bool has_events = this->parsed_request.is_chat && type.starts_with("text/event-stream");
    attempt.is_error_response = status >= first_server_error;
    if (this->relay.has_started() && (status != status_ok || !has_events)) {
        this->reject_response(kernel::response_fault::not_an_event_stream,
                              "the stream was not resumed");
        return;
    }
    if (this->relay.has_started())
        this->execute(this->state.on_resumed(), release_result::success);
    this->relay.start_attempt(status, headers, has_events);
}

void routed_request::on_body(std::span<const char> data) {
    const auto events_before = this->relay.events_forwarded();
    this->relay.append(data);
    if (this->relay.has_started())
        this->state.on_forwarded(this->relay.events_forwarded() - events_before);
    if (this->relay.saw_end()) {
        this->complete_response();
        return;
    }
    if (this->relay.exceeds_event_limit()) {
        this->reject_response(kernel::response_fault::event_size, "an event exceeds 1 MiB");
        return;
    }
    if (this->caller->buffered() > high_water_bytes)
        this->current_attempt->call->pause();
}

void routed_request::on_done() {
    if (!this->relay.is_complete())
        this->reject_response(kernel::response_fault::incomplete_events,
                              "the stream ended without its end mark");
    else if (this->current_attempt->is_error_response && !this->relay.has_started())
        this->execute(this->state.on_attempt_failed(true, this->context.loop.time().now()),
                      release_result::failure);
    else
        this->complete_response();
}

void routed_request::reject_response(kernel::response_fault fault, std::string detail) {
    this->context.counters.response_faults.add(fault);
    this->current_attempt->call->discard_connection();
    this->attempt_failed({error_kind::answer_truncated, std::move(detail), fault}, true);
}

void routed_request::on_failed(const kernel::error& reason, bool maybe_sent) {
    this->attempt_failed(reason, maybe_sent);
}

void routed_request::forward_error_response(const request::decision&) {
    this->relay.finish();
    this->execute(this->state.on_completed(), release_result::failure);
}

void routed_request::complete_response() {
    this->relay.finish();
    this->execute(this->state.on_completed(), release_result::success);
}

void routed_request::attempt_failed(const kernel::error& reason, bool maybe_sent) {
    // A stream is resumed later, and no byte that follows in this response may join it.
    this->current_attempt->call.reset();
    this->error_detail = reason.detail;
    this->context.events.write(kernel::severity::warning, "request.attempt_failed", this->id,
                               {{"reason", reason.detail},
                                {"fault", std::string(kernel::to_string(reason.fault))},
                                {"maybe_sent", maybe_sent}});
    const auto now = this->context.loop.time().now();
    request::decision decision;
    if (this->relay.has_started() && !this->relay.resumable())
        decision = this->state.abort(error_kind::answer_truncated);
    else if (this->relay.has_started())
        decision = this->state.on_stream_broken(now);
    else
        decision = maybe_sent ? this->state.on_attempt_failed(false, now)
                              : this->state.on_connect_failed(now);
    this->execute(decision, release_result::failure);
}

void routed_request::finish(const request::decision& decision) {
    this->settle_claim(decision.outcome);
    if (decision.outcome == request_outcome::answered) {
        ++this->context.counters.answered;
        this->end("answered");
    } else if (this->relay.has_started()) {
        ++this->context.counters.broken_streams;
        this->end("broken");
    } else {
        this->respond_with_error(decision);
    }
}

void routed_request::respond_with_error(const request::decision& decision) {
    const auto outcome =
        less_certain(decision.outcome, kernel::error_mapping_for(decision.kind).outcome);
    ++(outcome == request_outcome::not_run ? this->context.counters.not_run
                                           : this->context.counters.unknown);
    http::respond_with_error(*this->caller,
                             {{decision.kind, this->error_detail}, outcome, this->id_text});
    this->end(kernel::to_string(outcome));
}

} // namespace samphirespool::router
