// From the queue to the target: reports events to the request's state and carries out what it
// decides.
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
// Longest wait for the rest of a stream that is resumed.
constexpr auto resume_timeout = std::chrono::seconds(10);

struct verdict_kind {
    claims::claim_verdict verdict;
    error_kind kind;
    std::string_view detail;
};

constexpr std::array<verdict_kind, 5> verdict_kinds{{
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

request::request_traits traits_of(const caller_request& wanted) {
    request::request_traits traits;
    traits.idempotent = !wanted.non_idempotent;
    traits.needs_claim = wanted.non_idempotent && !wanted.idempotency_key.empty();
    traits.resumable = wanted.is_chat && wanted.stream &&
                       wanted.service.definition->kind == config::target_kind::engine;
    traits.resumable_elsewhere = wanted.is_deterministic;
    traits.deadline = wanted.deadline;
    return traits;
}

} // namespace

routed_request::attempt::attempt() = default;

routed_request::routed_request(request_context& context, helpers::request_id id,
                               std::unique_ptr<http::exchange> caller, caller_request wanted,
                               std::function<void()> ended)
    : context(context),
      id(id),
      id_text(to_string(id)),
      caller(std::move(caller)),
      wanted(std::move(wanted)),
      ended(std::move(ended)),
      state(traits_of(this->wanted), context.retries),
      relay(*this->caller, this->id_text),
      began(context.loop.time().now()) {}

routed_request::~routed_request() {
    *this->alive = false;
    this->context.loop.cancel(this->deadline_timer);
    this->context.loop.cancel(this->later_timer);
}

void routed_request::start() {
    this->caller->on_departed([this] { this->departed(); });
    this->caller->on_drained([this] {
        if (this->current && this->current->call)
            this->current->call->resume();
    });
    const auto left = this->state.remaining(this->context.loop.time().now());
    this->deadline_timer = this->context.loop.schedule(left, [this] {
        this->deadline_timer = 0;
        this->give_up({error_kind::deadline_exceeded, "no answer before the deadline"});
    });
    this->enter_queue();
}

void routed_request::enter_queue() {
    const admission::queued_request place{this->id, this->wanted.organisation.id,
                                          static_cast<std::uint8_t>(this->wanted.priority),
                                          this->wanted.cost_tokens, this->wanted.deadline};
    this->context.turns.enter(
        place, this->wanted.service.id,
        [this](const std::optional<kernel::error>& refusal) { this->on_turn(refusal); });
}

void routed_request::on_turn(const std::optional<kernel::error>& refusal) {
    if (refusal)
        this->give_up(*refusal);
    else
        this->carry_out(this->state.on_dequeued(this->context.loop.time().now()),
                        release_result::not_sent);
}

void routed_request::carry_out(const request::decision& made, release_result how) {
    // In the order of request::action; `send` is carried out by the return of on_connected().
    static constexpr std::array<action_step, 8> steps{
        &routed_request::do_nothing,  &routed_request::make_claim, &routed_request::reserve,
        &routed_request::call_target, &routed_request::do_nothing, &routed_request::resume_stream,
        &routed_request::pass_answer, &routed_request::finish,
    };
    if (made.release_grant)
        this->end_attempt(how);
    (this->*steps.at(static_cast<std::size_t>(made.next)))(made);
}

void routed_request::make_claim(const request::decision&) {
    this->claim = {this->id, this->wanted.organisation.id, this->wanted.idempotency_key,
                   fingerprint_of(this->caller->request()), this->wanted.deadline};
    auto& claims = this->context.claims;
    claims.claim(this->claim, [this, &claims, claim = this->claim,
                               alive = this->alive](const claims::claim_result& answer) {
        if (*alive && !this->has_ended)
            this->on_claim(answer);
        else if (answer.verdict == claims::claim_verdict::claimed)
            claims.release(claim);
    });
}

void routed_request::on_claim(const claims::claim_result& answer) {
    if (answer.verdict == claims::claim_verdict::claimed) {
        this->holds_claim = true;
        this->carry_out(
            this->state.on_claim_acquired(answer.valid_until, this->context.loop.time().now()),
            release_result::not_sent);
        return;
    }
    for (const auto& each : verdict_kinds)
        if (each.verdict == answer.verdict)
            this->give_up({each.kind, std::string(each.detail)});
}

// After an attempt, not from within the callback of its call.
void routed_request::reserve(const request::decision&) {
    if (this->state.tried().empty()) {
        this->ask_for_target();
        return;
    }
    ++this->context.counters.retried;
    this->later([this] { this->ask_for_target(); });
}

void routed_request::ask_for_target() {
    std::vector<helpers::target_id> candidates;
    this->context.fleet.rank(this->wanted.service.id,
                             {this->wanted.chat, this->context.self.data_centre,
                              this->context.self.region,
                              candidates_per_attempt + this->state.tried().size()},
                             candidates);
    std::erase_if(candidates,
                  [this](helpers::target_id each) { return !this->state.may_use(each); });
    if (candidates.empty()) {
        this->wait_for_targets();
        return;
    }
    this->reservation_pending = true;
    this->context.reservations.reserve(
        {this->id, this->wanted.service.id, std::move(candidates), this->wanted.cost_tokens,
         this->wanted.deadline, this->hints()},
        [this, alive = this->alive](const admission::reservation_reply& answer) {
            if (*alive)
                this->on_reservation(answer);
        });
}

admission::reservation_hints routed_request::hints() const {
    const auto conversation = this->wanted.has_named_chat ? this->wanted.chat : helpers::chat_key{};
    const auto backlog =
        this->context.turns.has_backlog(this->wanted.service.id, this->wanted.organisation.id);
    return {this->wanted.beginning, conversation, backlog};
}

// Another target may come up before the deadline. If every target there is was tried, none will.
void routed_request::wait_for_targets() {
    if (!this->state.tried().empty()) {
        this->give_up({error_kind::target_unreachable, this->reason_detail});
        return;
    }
    this->reason_detail = "the service has no target";
    this->context.loop.cancel(this->later_timer);
    this->later_timer = this->context.loop.schedule(target_poll_interval, [this] {
        this->later_timer = 0;
        this->ask_for_target();
    });
}

void routed_request::on_reservation(const admission::reservation_reply& answer) {
    this->reservation_pending = false;
    if (!answer.granted) {
        this->give_up(answer.rejection);
        return;
    }
    this->context.turns.placed(this->id);
    const auto* target = this->context.fleet.find(answer.issued.target);
    this->current.emplace();
    this->current->given = answer.issued;
    if (target != nullptr)
        this->current->address = target->address;
    const auto made = this->state.on_granted(answer.issued.target, answer.issued.send_before);
    if (made.next != action::connect || (target != nullptr && target->eligible)) {
        this->carry_out(made, release_result::not_sent);
        return;
    }
    // The target left between the grant and now.
    this->carry_out(this->state.on_connect_failed(this->context.loop.time().now()),
                    release_result::not_sent);
}

void routed_request::call_target(const request::decision&) {
    this->current->sent_at = this->context.loop.time().now();
    this->current->call = this->context.targets.start(this->make_call(), *this);
}

void routed_request::resume_stream(const request::decision&) {
    ++this->context.counters.resumed;
    this->later([this] {
        this->current->sent_at = this->context.loop.time().now();
        this->current->call = this->context.targets.start(this->make_call(), *this);
    });
}

http::client_request routed_request::make_call() const {
    const auto request = this->caller->request();
    const auto left = this->state.remaining(this->context.loop.time().now());
    http::client_request call;
    call.to = this->current->address;
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
    // The deadline timer is what ends a silent call before its answer begins.
    call.first_byte_timeout =
        this->relay.begun() ? resume_timeout : this->context.limits.max_deadline;
    call.fresh_connection = this->wanted.non_idempotent;
    return call;
}

bool routed_request::on_connected() {
    if (this->state.current_phase() == request::phase::resuming)
        return true;
    const auto made = this->state.on_connected(this->context.loop.time().now());
    if (made.next == action::send)
        return true;
    this->later([this, made] { this->carry_out(made, release_result::not_sent); });
    return false;
}

void routed_request::end_attempt(release_result how) {
    if (!this->current)
        return;
    const auto ended = std::exchange(this->current, std::nullopt);
    if (how == release_result::success || how == release_result::failure)
        this->context.health.record(this->wanted.service.id, ended->given.target,
                                    how == release_result::failure);
    this->context.reservations.finish({ended->given.id, how, ended->first_byte});
}

// A stream that runs goes on to its end; one whose rest nobody gives is broken off.
void routed_request::give_up(kernel::error reason) {
    const auto at = this->state.current_phase();
    if (this->has_ended || at == request::phase::responding || at == request::phase::resuming)
        return;
    this->reason_detail = std::move(reason.detail);
    this->carry_out(this->state.abort(reason.kind), release_result::cancelled);
}

void routed_request::departed() {
    if (this->has_ended)
        return;
    ++this->context.counters.departed;
    const auto made = this->state.on_caller_disconnected();
    if (made.release_grant)
        this->end_attempt(release_result::cancelled);
    this->settle_claim(made.outcome);
    this->end("departed");
}

// A claim is given back only if this request provably was not sent.
void routed_request::settle_claim(request_outcome outcome) {
    if (!std::exchange(this->holds_claim, false))
        return;
    if (outcome == request_outcome::answered)
        this->context.claims.complete(this->claim);
    else if (outcome == request_outcome::not_run)
        this->context.claims.release(this->claim);
}

void routed_request::later(kernel::task work) {
    this->context.loop.cancel(this->later_timer);
    this->later_timer =
        this->context.loop.schedule(helpers::duration::zero(), [this, work = std::move(work)] {
            this->later_timer = 0;
            work();
        });
}

void routed_request::end(std::string_view result) {
    this->has_ended = true;
    this->context.loop.cancel(std::exchange(this->deadline_timer, 0));
    this->context.loop.cancel(std::exchange(this->later_timer, 0));
    if (std::exchange(this->reservation_pending, false))
        this->context.reservations.cancel(this->id);
    this->context.turns.leave(this->id);
    const auto took = this->context.loop.time().now() - this->began;
    this->context.events.write(kernel::severity::info, "request.ended", this->id,
                               {{"result", std::string(result)},
                                {"service", this->wanted.service.definition->name},
                                {"organisation", this->wanted.organisation.definition->name},
                                {"status", std::int64_t{this->relay.status()}},
                                {"attempts", std::uint64_t{this->state.tried().size()}},
                                {"ms", std::chrono::duration<double, std::milli>(took).count()}});
    this->ended();
}

} // namespace samphirespool::router
