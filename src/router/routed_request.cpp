// The steps of one request. Each ends by starting the next, or the request.
#include "router/routed_request.hpp"

#include "http/error_response.hpp"
#include "router/target_headers.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace samphirespool::router {

namespace {

using kernel::error_kind;
using release_result = admission::release::result;

constexpr std::size_t max_attempts = 4;
constexpr std::size_t candidates_per_attempt = 6;
constexpr auto target_poll_interval = std::chrono::milliseconds(200);
// Beyond this the target is made to wait until the caller has taken what it was sent.
constexpr std::size_t high_water_bytes = std::size_t{256} * 1024;
constexpr int first_server_error = 500;
constexpr int service_unavailable = 503;

std::uint64_t fingerprint_of(const http::server_request& request) {
    auto hash = XXH3_64bits(request.method.data(), request.method.size());
    for (const auto part : {request.path, request.query, request.body})
        hash = XXH3_64bits_withSeed(part.data(), part.size(), hash);
    return hash;
}

} // namespace

routed_request::routed_request(request_context& context, helpers::request_id id,
                               std::unique_ptr<http::exchange> caller, caller_request wanted,
                               std::function<void()> ended)
    : context(context),
      id(id),
      id_text(to_string(id)),
      caller(std::move(caller)),
      wanted(std::move(wanted)),
      ended(std::move(ended)),
      relay(*this->caller, this->id_text),
      began(context.loop.time().now()) {}

routed_request::~routed_request() {
    *this->alive = false;
    this->context.loop.cancel(this->deadline_timer);
    this->context.loop.cancel(this->wait_timer);
}

void routed_request::start() {
    this->caller->on_departed([this] { this->departed(); });
    this->caller->on_drained([this] {
        if (this->current && this->current->call)
            this->current->call->resume();
    });
    const auto left = this->wanted.deadline - this->context.loop.time().now();
    this->deadline_timer = this->context.loop.schedule(left, [this] { this->deadline_passed(); });
    if (this->wants_claim())
        this->make_claim();
    else
        this->reserve();
}

bool routed_request::wants_claim() const {
    return this->wanted.non_idempotent && !this->wanted.idempotency_key.empty();
}

void routed_request::make_claim() {
    this->claim = {this->id, this->wanted.organisation.id, this->wanted.idempotency_key,
                   fingerprint_of(this->caller->request()), this->wanted.deadline};
    this->context.claims.claim(this->claim,
                               [this, alive = this->alive](const claims::claim_answer& answer) {
                                   if (*alive)
                                       this->on_claim(answer);
                               });
}

void routed_request::on_claim(const claims::claim_answer& answer) {
    using claims::claim_verdict;
    if (this->has_ended) {
        if (answer.verdict == claim_verdict::claimed)
            this->context.claims.release(this->claim);
        return;
    }
    switch (answer.verdict) {
    case claim_verdict::claimed:
        this->claim_valid_until = answer.valid_until;
        this->reserve();
        return;
    case claim_verdict::taken:
        this->refuse({error_kind::claim_in_progress, "the key was used; its outcome is not known"});
        return;
    case claim_verdict::executed:
        this->refuse({error_kind::already_executed, "the request with this key was answered"});
        return;
    case claim_verdict::mismatch:
        this->refuse({error_kind::conflict, "the key belongs to another request"});
        return;
    case claim_verdict::expired:
        this->refuse({error_kind::claim_expired, "the key is older than keys are kept"});
        return;
    case claim_verdict::unavailable:
        this->refuse({error_kind::claim_unavailable, "the key could not be claimed in time"});
        return;
    }
}

void routed_request::reserve() {
    std::vector<helpers::target_id> candidates;
    this->context.fleet.rank(this->wanted.service.id,
                             {this->wanted.chat, this->context.self.data_centre,
                              this->context.self.region,
                              candidates_per_attempt + this->tried.size()},
                             candidates);
    std::erase_if(candidates, [this](helpers::target_id each) {
        return std::find(this->tried.begin(), this->tried.end(), each) != this->tried.end();
    });
    if (candidates.empty()) {
        this->wait_for_targets();
        return;
    }
    this->reservation_pending = true;
    this->context.reservations.reserve(
        {this->id, this->wanted.service.id, std::move(candidates), this->wanted.cost_tokens,
         this->wanted.deadline},
        [this, alive = this->alive](const admission::reservation_answer& answer) {
            if (*alive)
                this->on_reservation(answer);
        });
}

// A target that failed this request may serve it later, when no other is left.
void routed_request::wait_for_targets() {
    this->tried.clear();
    this->wait_timer = this->context.loop.schedule(target_poll_interval, [this] {
        this->wait_timer = 0;
        this->reserve();
    });
}

void routed_request::on_reservation(const admission::reservation_answer& answer) {
    this->reservation_pending = false;
    if (!answer.granted) {
        this->refuse(answer.refusal);
        return;
    }
    const auto* target = this->context.fleet.find(answer.given.target);
    if (target == nullptr || !target->eligible || !this->may_still_send(answer.given)) {
        this->context.reservations.finish({answer.given.id, release_result::not_sent, {}});
        if (this->claim_valid_until && !this->may_still_send(answer.given))
            this->refuse({error_kind::claim_unavailable, "the claim on the key ran out"});
        else
            this->wait_for_targets();
        return;
    }
    this->send(answer.given, target->address);
}

bool routed_request::may_still_send(const admission::grant& given) const {
    const auto now = this->context.loop.time().now();
    const bool claim_holds = !this->claim_valid_until || now < *this->claim_valid_until;
    return claim_holds && now < given.send_before;
}

void routed_request::send(const admission::grant& given, const helpers::endpoint& address) {
    this->tried.push_back(given.target);
    this->current.emplace();
    this->current->given = given;
    this->current->address = address;
    this->current->sent_at = this->context.loop.time().now();
    this->current->call = this->context.targets.start(this->make_call(address), *this);
}

http::client_request routed_request::make_call(const helpers::endpoint& address) const {
    const auto request = this->caller->request();
    const auto left = this->wanted.deadline - this->context.loop.time().now();
    http::client_request call;
    call.to = address;
    call.method = request.method;
    call.path = request.path;
    if (!request.query.empty())
        call.path.append("?").append(request.query);
    call.headers = target_headers(request.headers);
    call.headers.push_back({"x-request-id", this->id_text});
    call.headers.push_back({"x-priority", std::string(to_string(this->wanted.priority))});
    call.headers.push_back({"x-deadline-ms", to_milliseconds_text(left)});
    if (this->relay.events_passed() > 0)
        call.headers.push_back({"x-resume-tokens", std::to_string(this->relay.events_passed())});
    call.body = request.body;
    // The deadline timer is what ends a silent call.
    call.first_byte_timeout = this->context.limits.max_deadline;
    call.fresh_connection = this->wanted.non_idempotent;
    return call;
}

void routed_request::on_head(int status, const http::header_list& headers) {
    this->maybe_sent = true;
    auto& running = *this->current;
    running.first_byte = this->context.loop.time().now() - running.sent_at;
    if (http::find_header(headers, "x-request-id") != this->id_text) {
        ++this->context.counters.crossed_answers;
        this->context.events.write(kernel::severity::warning, "request.crossed_answer", this->id,
                                   {{"target", helpers::to_string(running.address)}});
        this->attempt_failed({error_kind::target_failed, "answer of another request"}, true);
        return;
    }
    const bool is_engine = this->wanted.service.definition->kind == config::target_kind::engine;
    const bool failed = is_engine ? status >= first_server_error
                                  : status == service_unavailable && this->may_retry(true);
    if (failed) {
        this->attempt_failed(
            {error_kind::target_failed, "the target answered " + std::to_string(status)}, true);
        return;
    }
    const auto type = http::find_header(headers, "content-type").value_or("");
    this->relay.start_attempt(status, headers,
                              this->wanted.is_chat && type.starts_with("text/event-stream"));
}

void routed_request::on_body(std::span<const char> data) {
    this->relay.take(data);
    if (this->relay.saw_end()) {
        this->answer_complete();
        return;
    }
    if (this->caller->buffered() > high_water_bytes)
        this->current->call->pause();
}

void routed_request::on_done() {
    if (this->relay.is_whole())
        this->answer_complete();
    else
        this->attempt_failed({error_kind::answer_truncated, "the stream has no end mark"}, true);
}

void routed_request::on_failed(const kernel::error& reason, bool maybe_sent) {
    this->attempt_failed(reason, maybe_sent);
}

void routed_request::answer_complete() {
    this->relay.finish();
    this->end_attempt(release_result::success);
    this->settle_claim(true);
    ++this->context.counters.answered;
    this->end("answered");
}

void routed_request::attempt_failed(const kernel::error& reason, bool maybe_sent) {
    this->maybe_sent = this->maybe_sent || maybe_sent;
    this->end_attempt(release_result::failure);
    this->context.events.write(kernel::severity::warning, "request.attempt_failed", this->id,
                               {{"reason", reason.detail}, {"maybe_sent", maybe_sent}});
    if (!this->may_retry(maybe_sent)) {
        this->refuse(reason);
        return;
    }
    ++this->context.counters.retried;
    if (this->relay.begun())
        ++this->context.counters.resumed;
    // Not from within the call's own callback.
    this->wait_timer = this->context.loop.schedule(helpers::duration::zero(), [this] {
        this->wait_timer = 0;
        this->reserve();
    });
}

bool routed_request::may_retry(bool maybe_sent) const {
    if (this->tried.size() >= max_attempts)
        return false;
    if (this->relay.begun() && !this->relay.resumable())
        return false;
    return !maybe_sent || !this->wanted.non_idempotent;
}

void routed_request::end_attempt(release_result how) {
    if (!this->current)
        return;
    const admission::release ended{this->current->given.id, how, this->current->first_byte};
    this->current.reset();
    this->context.reservations.finish(ended);
}

void routed_request::deadline_passed() {
    this->deadline_timer = 0;
    this->give_up({error_kind::deadline_exceeded, "no answer before the deadline"});
}

void routed_request::give_up(kernel::error reason) {
    if (this->has_ended || (this->relay.begun() && this->current))
        return;
    if (this->current) {
        this->maybe_sent = true;
        this->end_attempt(release_result::cancelled);
    }
    this->refuse(std::move(reason));
}

void routed_request::departed() {
    if (this->has_ended)
        return;
    if (this->current) {
        this->maybe_sent = true;
        this->end_attempt(release_result::cancelled);
    }
    ++this->context.counters.departed;
    this->settle_claim(false);
    this->end("departed");
}

// Invariant: says "not run" only if no byte of the request may have reached a target.
void routed_request::refuse(kernel::error reason) {
    if (this->has_ended)
        return;
    this->settle_claim(false);
    if (this->relay.begun()) {
        ++this->context.counters.broken_streams;
        this->end("broken");
        return;
    }
    auto outcome = kernel::answer_for(reason.kind).outcome;
    if (this->maybe_sent)
        outcome = kernel::request_outcome::unknown;
    else if (reason.kind == error_kind::target_failed ||
             reason.kind == error_kind::answer_truncated)
        outcome = kernel::request_outcome::not_run;
    ++(outcome == kernel::request_outcome::not_run ? this->context.counters.not_run
                                                   : this->context.counters.unknown);
    http::respond_with_error(*this->caller, {std::move(reason), outcome, this->id_text});
    this->end(kernel::to_string(outcome));
}

// A claim is given back only if the request provably was not sent.
void routed_request::settle_claim(bool answered) {
    if (!this->claim_valid_until)
        return;
    this->claim_valid_until.reset();
    if (answered)
        this->context.claims.complete(this->claim);
    else if (!this->maybe_sent)
        this->context.claims.release(this->claim);
}

void routed_request::end(std::string_view result) {
    this->has_ended = true;
    this->context.loop.cancel(std::exchange(this->deadline_timer, 0));
    this->context.loop.cancel(std::exchange(this->wait_timer, 0));
    if (std::exchange(this->reservation_pending, false))
        this->context.reservations.cancel(this->id);
    const auto took = this->context.loop.time().now() - this->began;
    this->context.events.write(kernel::severity::info, "request.ended", this->id,
                               {{"result", std::string(result)},
                                {"service", this->wanted.service.definition->name},
                                {"organisation", this->wanted.organisation.definition->name},
                                {"status", std::int64_t{this->relay.status()}},
                                {"attempts", std::uint64_t{this->tried.size()}},
                                {"ms", std::chrono::duration<double, std::milli>(took).count()}});
    this->ended();
}

} // namespace samphirespool::router
