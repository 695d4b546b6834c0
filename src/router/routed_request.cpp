// First half of a request, from the queue to the target; also retries and the end.
#include "router/routed_request.hpp"

#include "router/target_headers.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <utility>

namespace samphirespool::router {

namespace {

using kernel::error_kind;
using kernel::request_outcome;
using request::action;

constexpr std::size_t candidates_per_attempt = 6;
constexpr auto target_poll_interval = std::chrono::milliseconds(100);
// Longest wait for the first byte of a resumed stream.
constexpr auto resume_timeout = std::chrono::seconds(10);

struct verdict_error {
    claims::claim_verdict verdict;
    error_kind kind;
    std::string_view detail;
};

constexpr std::array<verdict_error, 5> verdict_errors{{
    {claims::claim_verdict::taken, error_kind::claim_in_progress,
     "the key was used; its outcome is not known"},
    {claims::claim_verdict::executed, error_kind::already_executed,
     "the request with this key was answered"},
    {claims::claim_verdict::mismatch, error_kind::conflict, "the key belongs to another request"},
    {claims::claim_verdict::expired, error_kind::claim_expired,
     "the key is older than keys are kept"},
    {claims::claim_verdict::unavailable, error_kind::claim_unavailable,
     "the key could not be claimed in time"},
}};

std::uint64_t fingerprint_of(const http::server_request& request) {
    auto hash = XXH3_64bits(request.method.data(), request.method.size());
    for (const auto part : {request.path, request.query, request.body})
        hash = XXH3_64bits_withSeed(part.data(), part.size(), hash);
    return hash;
}

request::request_traits traits_of(const caller_request& request) {
    request::request_traits traits;
    traits.idempotent = !request.non_idempotent;
    traits.needs_claim = request.non_idempotent && !request.idempotency_key.empty();
    traits.resumable = request.is_chat && request.stream &&
                       request.service.definition->kind == config::target_kind::engine;
    traits.resumable_elsewhere = request.is_deterministic;
    traits.deadline = request.deadline;
    return traits;
}

} // namespace

routed_request::attempt::attempt() = default;

routed_request::routed_request(request_context& context, helpers::request_id id,
                               std::unique_ptr<http::exchange> caller,
                               caller_request parsed_request, std::function<void()> end_handler)
    : context(context),
      id(id),
      id_text(to_string(id)),
      caller(std::move(caller)),
      parsed_request(std::move(parsed_request)),
      end_handler(std::move(end_handler)),
      state(traits_of(this->parsed_request), context.retries),
      relay(*this->caller, this->id_text),
      started_at(context.loop.time().now()) {}

routed_request::~routed_request() {
    *this->alive = false;
    this->context.loop.cancel(this->deadline_timer);
    this->context.loop.cancel(this->deferred_timer);
}

void routed_request::start() {
    this->caller->on_disconnected([this] { this->on_caller_disconnected(); });
    this->caller->on_evicted([this] { this->on_evicted(); });
    this->caller->on_drained([this] {
        if (this->current_attempt && this->current_attempt->call)
            this->current_attempt->call->resume();
    });
    const auto remaining = this->state.remaining(this->context.loop.time().now());
    this->deadline_timer = this->context.loop.schedule(remaining, [this] {
        this->deadline_timer = 0;
        this->abort({error_kind::deadline_exceeded, "no answer before the deadline"});
    });
    this->submit_to_queue();
}

// This may be called while a part of the response is handled.
void routed_request::on_evicted() {
    this->context.loop.post([this, living = this->alive] {
        if (*living)
            this->abort({error_kind::internal, "the memory for responses is used up"});
    });
}

void routed_request::submit_to_queue() {
    const admission::queued_request queued{this->id, this->parsed_request.organisation.id,
                                           static_cast<std::uint8_t>(this->parsed_request.priority),
                                           this->parsed_request.cost_tokens,
                                           this->parsed_request.deadline};
    this->context.queue.submit(
        queued, this->parsed_request.service.id,
        [this](const std::optional<kernel::error>& rejection) { this->on_dequeued(rejection); });
}

void routed_request::on_dequeued(const std::optional<kernel::error>& rejection) {
    if (rejection)
        this->abort(*rejection);
    else
        this->execute(this->state.on_dequeued(this->context.loop.time().now()),
                      release_result::not_sent);
}

void routed_request::execute(const request::decision& decision, release_result result) {
    // In the order of request::action. `send` has no handler: on_connected() returns true for it.
    static constexpr std::array<action_handler, 8> handlers{
        &routed_request::do_nothing,
        &routed_request::make_claim,
        &routed_request::start_reservation,
        &routed_request::call_target,
        &routed_request::do_nothing,
        &routed_request::resume_stream,
        &routed_request::forward_error_response,
        &routed_request::finish,
    };
    if (decision.release_grant)
        this->end_attempt(result);
    (this->*handlers.at(static_cast<std::size_t>(decision.next)))(decision);
}

void routed_request::make_claim(const request::decision&) {
    this->claim = {this->id, this->parsed_request.organisation.id,
                   this->parsed_request.idempotency_key, fingerprint_of(this->caller->request()),
                   this->parsed_request.deadline};
    auto& claims = this->context.claims;
    claims.claim(this->claim, [this, &claims, claim = this->claim,
                               alive = this->alive](const claims::claim_result& reply) {
        if (*alive && !this->has_ended)
            this->on_claim(reply);
        // The request ended in the meantime and does not use the claim.
        else if (reply.verdict == claims::claim_verdict::claimed)
            claims.release(claim);
    });
}

void routed_request::on_claim(const claims::claim_result& reply) {
    if (reply.verdict == claims::claim_verdict::claimed) {
        this->holds_claim = true;
        this->execute(
            this->state.on_claim_acquired(reply.valid_until, this->context.loop.time().now()),
            release_result::not_sent);
        return;
    }
    for (const auto& row : verdict_errors)
        if (row.verdict == reply.verdict)
            this->abort({row.kind, std::string(row.detail)});
}

// A retry is deferred, since this may run in a callback of the call that failed.
void routed_request::start_reservation(const request::decision&) {
    if (this->state.tried().empty()) {
        this->reserve_target();
        return;
    }
    ++this->context.counters.retried;
    this->defer([this] { this->reserve_target(); });
}

void routed_request::reserve_target() {
    std::vector<helpers::target_id> candidates;
    this->context.fleet.rank(this->parsed_request.service.id,
                             {this->parsed_request.chat, this->context.self.data_centre,
                              this->context.self.region,
                              candidates_per_attempt + this->state.tried().size()},
                             candidates);
    std::erase_if(candidates,
                  [this](helpers::target_id target) { return !this->state.may_use(target); });
    if (candidates.empty()) {
        this->wait_for_targets();
        return;
    }
    this->reservation_pending = true;
    this->context.reservations.reserve(
        {this->id, this->parsed_request.service.id, std::move(candidates),
         this->parsed_request.cost_tokens, this->parsed_request.deadline, this->hints()},
        [this, alive = this->alive](const admission::reservation_reply& reply) {
            if (*alive)
                this->on_reservation(reply);
        });
}

admission::reservation_hints routed_request::hints() const {
    const auto conversation =
        this->parsed_request.has_named_chat ? this->parsed_request.chat : helpers::chat_key{};
    const auto backlog = this->context.queue.has_backlog(this->parsed_request.service.id,
                                                         this->parsed_request.organisation.id);
    return {this->parsed_request.shared_prefix, conversation, backlog};
}

// Waits for a target to appear before the deadline. After an attempt all targets have been tried,
// and the request fails at once.
void routed_request::wait_for_targets() {
    if (!this->state.tried().empty()) {
        this->abort({error_kind::target_unreachable, this->error_detail});
        return;
    }
    this->error_detail = "the service has no target";
    this->context.loop.cancel(this->deferred_timer);
    this->deferred_timer = this->context.loop.schedule(target_poll_interval, [this] {
        this->deferred_timer = 0;
        this->reserve_target();
    });
}

void routed_request::on_reservation(const admission::reservation_reply& reply) {
    this->reservation_pending = false;
    if (!reply.granted) {
        this->abort(reply.rejection);
        return;
    }
    this->context.queue.on_target_assigned(this->id);
    const auto* target = this->context.fleet.find(reply.issued.target);
    this->current_attempt.emplace();
    this->current_attempt->grant = reply.issued;
    if (target != nullptr)
        this->current_attempt->address = target->address;
    const auto decision = this->state.on_granted(reply.issued.target, reply.issued.send_before);
    if (decision.next != action::connect || (target != nullptr && target->eligible)) {
        this->execute(decision, release_result::not_sent);
        return;
    }
    // The target was removed or became ineligible after the grant.
    this->execute(this->state.on_connect_failed(this->context.loop.time().now()),
                  release_result::not_sent);
}

void routed_request::call_target(const request::decision&) {
    this->current_attempt->sent_at = this->context.loop.time().now();
    this->current_attempt->call = this->context.targets.start(this->make_target_request(), *this);
}

void routed_request::resume_stream(const request::decision&) {
    ++this->context.counters.resumed;
    this->defer([this] {
        this->current_attempt->sent_at = this->context.loop.time().now();
        this->current_attempt->call =
            this->context.targets.start(this->make_target_request(), *this);
    });
}

http::client_request routed_request::make_target_request() const {
    const auto received = this->caller->request();
    const auto remaining = this->state.remaining(this->context.loop.time().now());
    http::client_request call;
    call.to = this->current_attempt->address;
    call.method = received.method;
    call.path = received.path;
    if (!received.query.empty())
        call.path.append("?").append(received.query);
    call.headers = target_headers(received.headers);
    call.headers.push_back({"x-request-id", this->id_text});
    call.headers.push_back({"x-priority", std::string(to_string(this->parsed_request.priority))});
    call.headers.push_back({"x-deadline-ms", to_milliseconds_text(remaining)});
    if (this->relay.events_forwarded() > 0)
        call.headers.push_back({"x-resume-tokens", std::to_string(this->relay.events_forwarded())});
    call.shared_body = received.body;
    // Before the response starts the deadline timer ends the call; this limit only backs it up.
    call.first_byte_timeout =
        this->relay.has_started() ? resume_timeout : this->context.limits.max_deadline;
    call.requires_new_connection = this->parsed_request.non_idempotent;
    return call;
}

bool routed_request::on_connected() {
    if (this->state.current_phase() == request::phase::resuming)
        return true;
    const auto decision = this->state.on_connected(this->context.loop.time().now());
    if (decision.next == action::send)
        return true;
    this->defer([this, decision] { this->execute(decision, release_result::not_sent); });
    return false;
}

void routed_request::end_attempt(release_result result) {
    if (!this->current_attempt)
        return;
    const auto ended = std::exchange(this->current_attempt, std::nullopt);
    if (result == release_result::success || result == release_result::failure)
        this->context.health.record(this->parsed_request.service.id, ended->grant.target,
                                    result == release_result::failure);
    this->context.reservations.finish({ended->grant.id, result, ended->first_byte});
}

// Has no effect while a response is relayed or a stream is resumed: a running stream continues to
// its end, and one that no target resumes is cut off.
void routed_request::abort(kernel::error reason) {
    const auto phase = this->state.current_phase();
    if (this->has_ended || phase == request::phase::responding || phase == request::phase::resuming)
        return;
    this->error_detail = std::move(reason.detail);
    this->execute(this->state.abort(reason.kind), release_result::cancelled);
}

void routed_request::on_caller_disconnected() {
    if (this->has_ended)
        return;
    ++this->context.counters.disconnected;
    const auto decision = this->state.on_caller_disconnected();
    if (decision.release_grant)
        this->end_attempt(release_result::cancelled);
    this->settle_claim(decision.outcome);
    this->end("departed");
}

// A claim is released only if this request provably was not sent; after an unknown outcome it stays
// claimed, so that a retry by the caller cannot run the call twice.
void routed_request::settle_claim(request_outcome outcome) {
    if (!std::exchange(this->holds_claim, false))
        return;
    if (outcome == request_outcome::answered)
        this->context.claims.complete(this->claim);
    else if (outcome == request_outcome::not_run)
        this->context.claims.release(this->claim);
}

void routed_request::defer(kernel::task work) {
    this->context.loop.cancel(this->deferred_timer);
    this->deferred_timer =
        this->context.loop.schedule(helpers::duration::zero(), [this, work = std::move(work)] {
            this->deferred_timer = 0;
            work();
        });
}

void routed_request::end(std::string_view result) {
    this->has_ended = true;
    this->context.loop.cancel(std::exchange(this->deadline_timer, 0));
    this->context.loop.cancel(std::exchange(this->deferred_timer, 0));
    if (std::exchange(this->reservation_pending, false))
        this->context.reservations.cancel(this->id);
    this->context.queue.remove(this->id);
    const auto duration = this->context.loop.time().now() - this->started_at;
    this->context.events.write(
        kernel::severity::info, "request.ended", this->id,
        {{"result", std::string(result)},
         {"service", this->parsed_request.service.definition->name},
         {"organisation", this->parsed_request.organisation.definition->name},
         {"status", std::int64_t{this->relay.status()}},
         {"attempts", std::uint64_t{this->state.tried().size()}},
         {"ms", std::chrono::duration<double, std::milli>(duration).count()}});
    this->end_handler();
}

} // namespace samphirespool::router
