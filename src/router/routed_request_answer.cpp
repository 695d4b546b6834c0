// From the target to the caller: the answer, its faults, and the end of the request.
#include "http/error_response.hpp"
#include "router/routed_request.hpp"

#include <algorithm>
#include <utility>

namespace samphirespool::router {

namespace {

using kernel::error_kind;
using kernel::request_outcome;

// Beyond this the target is made to wait until the caller has taken what it was sent.
constexpr std::size_t high_water_bytes = std::size_t{256} * 1024;
constexpr int first_server_error = 500;

// The caller may conclude no more than both the request's state and the kind of error allow.
request_outcome weaker(request_outcome a, request_outcome b) {
    return std::max(a, b);
}

} // namespace

bool routed_request::is_own_answer(const http::header_list& headers) {
    if (http::find_header(headers, "x-request-id") == this->id_text)
        return true;
    ++this->context.counters.crossed_answers;
    this->context.events.write(kernel::severity::warning, "request.crossed_answer", this->id,
                               {{"target", helpers::to_string(this->current->address)}});
    return false;
}

void routed_request::on_head(int status, const http::header_list& headers) {
    auto& running = *this->current;
    running.first_byte = this->context.loop.time().now() - running.sent_at;
    if (!this->is_own_answer(headers)) {
        this->attempt_failed({error_kind::target_failed, "answer of another request"}, true);
        return;
    }
    const auto type = http::find_header(headers, "content-type").value_or("");
    const bool has_events = this->wanted.is_chat && type.starts_with("text/event-stream");
    running.is_error_answer = status >= first_server_error;
    if (this->relay.begun() && (running.is_error_answer || !has_events)) {
        this->attempt_failed({error_kind::answer_truncated, "the stream was not resumed"}, true);
        return;
    }
    if (this->relay.begun())
        this->carry_out(this->state.on_resumed(), release_result::success);
    this->relay.start_attempt(status, headers, has_events);
}

void routed_request::on_body(std::span<const char> data) {
    const auto before = this->relay.events_passed();
    this->relay.take(data);
    if (this->relay.begun())
        this->state.on_forwarded(this->relay.events_passed() - before);
    if (this->relay.saw_end()) {
        this->answer_complete();
        return;
    }
    if (this->caller->buffered() > high_water_bytes)
        this->current->call->pause();
}

void routed_request::on_done() {
    if (!this->relay.is_whole())
        this->attempt_failed({error_kind::answer_truncated, "the stream has no end mark"}, true);
    else if (this->current->is_error_answer && !this->relay.begun())
        this->carry_out(this->state.on_attempt_failed(true, this->context.loop.time().now()),
                        release_result::failure);
    else
        this->answer_complete();
}

void routed_request::on_failed(const kernel::error& reason, bool maybe_sent) {
    this->attempt_failed(reason, maybe_sent);
}

void routed_request::pass_answer(const request::decision&) {
    this->relay.finish();
    this->carry_out(this->state.on_completed(), release_result::failure);
}

void routed_request::answer_complete() {
    this->relay.finish();
    this->carry_out(this->state.on_completed(), release_result::success);
}

void routed_request::attempt_failed(const kernel::error& reason, bool maybe_sent) {
    this->reason_detail = reason.detail;
    this->context.events.write(kernel::severity::warning, "request.attempt_failed", this->id,
                               {{"reason", reason.detail}, {"maybe_sent", maybe_sent}});
    const auto now = this->context.loop.time().now();
    request::decision made;
    if (this->relay.begun() && !this->relay.resumable())
        made = this->state.abort(error_kind::answer_truncated);
    else if (this->relay.begun())
        made = this->state.on_stream_broken(now);
    else
        made = maybe_sent ? this->state.on_attempt_failed(false, now)
                          : this->state.on_connect_failed(now);
    this->carry_out(made, release_result::failure);
}

void routed_request::finish(const request::decision& made) {
    this->settle_claim(made.outcome);
    if (made.outcome == request_outcome::answered) {
        ++this->context.counters.answered;
        this->end("answered");
    } else if (this->relay.begun()) {
        ++this->context.counters.broken_streams;
        this->end("broken");
    } else {
        this->answer_with_error(made);
    }
}

void routed_request::answer_with_error(const request::decision& made) {
    const auto outcome = weaker(made.outcome, kernel::answer_for(made.kind).outcome);
    ++(outcome == request_outcome::not_run ? this->context.counters.not_run
                                           : this->context.counters.unknown);
    http::respond_with_error(*this->caller,
                             {{made.kind, this->reason_detail}, outcome, this->id_text});
    this->end(kernel::to_string(outcome));
}

} // namespace samphirespool::router
