// Admission, attempts and retries of one request. The responses of targets are in
// proxied_request_response.cpp, streams that a caller takes up in proxied_request_resume.cpp.
#include "gateway/proxied_request.hpp"

#include "helpers/hex.hpp"

#include <algorithm>
#include <utility>

namespace samphirespool::gateway {

namespace {

using kernel::error_kind;
using kernel::request_outcome;

// Machines of the same region accept a connection within a few milliseconds. One that does not has
// most likely failed, and another target is tried.
constexpr helpers::duration connect_timeout = std::chrono::milliseconds(250);
// Minimum time until the deadline for which another attempt is worthwhile.
constexpr helpers::duration min_time_left = std::chrono::milliseconds(40);
// Used if neither the caller sets a deadline nor the route a timeout.
constexpr helpers::duration default_deadline = std::chrono::seconds(60);
// A target that has not responded within this multiple of the route's objective is reported as
// silent, and an idempotent request is sent to another target.
constexpr int silence_timeout_objectives = 3;
// A request is queued for its objective or a quarter of its time limit, whichever is longer, but no
// longer than this: callers abandon a request after two seconds without a response.
constexpr helpers::duration max_queue_wait = std::chrono::milliseconds(1400);
constexpr int queue_wait_divisor = 4;
// Fraction (1/n) of an objective that may pass in the queue; the rest is for the target.
constexpr int objective_queue_divisor = 2;
// Longer lists of segments are cut off in the log.
constexpr std::size_t max_logged_segments = 8;

// A held request asks again after this time.
constexpr helpers::duration hold_interval = std::chrono::milliseconds(40);

kernel::error quarantine_reason(const crash_guard::decision& decision) {
    if (decision.cause && admission::is_request(decision.cause->depth))
        return {error_kind::request_quarantined, "the request has crashed several targets"};
    return {error_kind::prompt_quarantined, "a segment of the prompt has crashed several targets"};
}

// The ids of the first segments of a prompt, in hexadecimal and separated by commas.
std::string segment_list(const placement::prompt& from) {
    std::string result;
    const auto count = std::min(from.segments.size(), max_logged_segments);
    for (std::size_t i = 0; i < count; ++i)
        result.append(i == 0 ? "" : ",").append(helpers::to_hex(from.segments[i].id));
    return result;
}

} // namespace

proxied_request::proxied_request(request_services& services, std::unique_ptr<http::exchange> caller,
                                 std::shared_ptr<const routing::route_table> table,
                                 helpers::time_point arrived, std::uint64_t sequence,
                                 std::function<void()> finished_handler,
                                 std::optional<relay_ticket> ticket)
    : services(services),
      caller(std::move(caller)),
      table(std::move(table)),
      sequence(sequence),
      finished_handler(std::move(finished_handler)),
      ticket(std::move(ticket)),
      metadata(read_request_metadata(this->caller->request(), services.names)),
      arrived_at(arrived),
      version_attempt(services.rollouts) {}

proxied_request::~proxied_request() {
    this->services.loop.cancel(this->deadline_timer);
    this->services.loop.cancel(this->silence_timer);
    this->services.loop.cancel(this->deferred_timer);
    this->services.loop.cancel(this->eviction_timer);
    this->call.reset();
    this->inspection.reset();
    if (this->dispatch_id != 0)
        this->services.dispatch.cancel(this->dispatch_id);
    this->end_relay();
    this->release(attempt_result::neutral);
}

void proxied_request::start() {
    ++this->services.counters.requests;
    if (this->services.shutdown.has_begun())
        this->caller->close_connection_after();
    if (!this->admit())
        return;
    const auto now = this->services.loop.time().now();
    const auto timeout =
        this->route->timeout > helpers::duration::zero() ? this->route->timeout : default_deadline;
    this->deadline =
        this->arrived_at + std::min(this->metadata.deadline.value_or(timeout), timeout);
    if (!this->ends_before_shutdown()) {
        this->reject_for_shutdown();
        return;
    }
    this->deadline_timer = this->services.loop.schedule(this->time_left(), [this] {
        this->deadline_timer = 0;
        this->abort({error_kind::deadline_exceeded, "no response before the deadline"});
    });
    this->caller->on_disconnected([this] {
        ++this->services.counters.disconnected;
        this->finish("departed", "the caller closed its connection");
    });
    this->caller->on_drained([this] { this->resume_target(); });
    this->caller->on_evicted([this] { this->on_evicted(); });
    this->service = routing::pick_service(*this->route, this->services.random.fraction());
    // The gateway that passed the request on has counted it.
    if (!this->ticket)
        this->services.dispatch.retry_budget().record_request(this->service, now);
    this->resume_stream();
    this->request_target();
}

bool proxied_request::admit() {
    const auto incoming = this->caller->request();
    if (this->table == nullptr) {
        this->reject({error_kind::not_ready, "no configuration yet"}, request_outcome::not_run);
        return false;
    }
    if (this->ticket && this->ticket->version > this->table->values().version) {
        this->refuse_relayed("the configuration here is older");
        return false;
    }
    this->route = this->table->find_route(incoming.authority, incoming.path);
    if (this->route == nullptr) {
        this->reject({error_kind::not_found, "no route for this host and path"},
                     request_outcome::not_run);
        return false;
    }
    this->priority = this->route->priority;
    if (!this->check_api_key() || !this->check_memory())
        return false;
    this->digest = request_digest(incoming, this->organisation);
    this->suspects = admission::suspects_of(this->metadata.prompt, this->digest);
    return true;
}

bool proxied_request::check_api_key() {
    const auto* owner = this->table->find_api_key(this->metadata.api_key);
    if (owner != nullptr) {
        this->organisation = owner->organisation;
        this->priority = owner->priority.value_or(this->priority);
        return true;
    }
    if (!this->table->values().has_organisations || this->route->is_public)
        return true;
    this->reject({error_kind::unauthorized, "unknown API key"}, request_outcome::not_run);
    return false;
}

bool proxied_request::pass_quarantine() {
    const auto decision = this->services.crashes.check(this->suspects, this->metadata.id);
    this->quarantine_verdict = decision.result;
    if (decision.result == crash_guard::verdict::admitted ||
        decision.result == crash_guard::verdict::trial)
        return true;
    if (decision.result == crash_guard::verdict::held &&
        this->services.loop.time().now() + hold_interval < this->queue_deadline()) {
        this->defer([this] { this->request_target(); }, hold_interval);
        return false;
    }
    this->finish_without_response(this->may_have_run ? attempt_outcome::maybe_run
                                                     : attempt_outcome::not_run,
                                  quarantine_reason(decision));
    return false;
}

helpers::time_point proxied_request::queue_deadline() const {
    const auto wait_limit = std::min(
        max_queue_wait,
        std::max(this->route->objective, (this->deadline - this->arrived_at) / queue_wait_divisor));
    return std::min(this->arrived_at + wait_limit, this->deadline);
}

void proxied_request::request_target() {
    // A stream that has begun may go on until the end of the grace period.
    if (!this->response_started && !this->ends_before_shutdown()) {
        this->reject_for_shutdown();
        return;
    }
    if (!this->resolve_software() || !this->pass_quarantine())
        return;
    const auto now = this->services.loop.time().now();
    dispatch_request request;
    request.service = this->service;
    request.prompt = &this->metadata.prompt;
    request.priority = this->priority;
    request.organisation = helpers::id_of<helpers::organisation_id>(this->organisation);
    request.queue_deadline = this->queue_deadline();
    request.objective_assign_by =
        this->arrived_at + this->route->objective / objective_queue_divisor;
    if (this->response_started) {
        request.queue_deadline = std::min(now + stream_silence_timeout / 2, this->deadline);
        request.objective_assign_by = request.queue_deadline;
    }
    request.tried_targets = this->tried_targets;
    request.software = this->stream_software;
    request.route = helpers::hash_name(this->route->name);
    request.is_retry = this->attempts > 0;
    request.on_assigned = [this](assignment assigned) { this->on_assigned(std::move(assigned)); };
    request.on_rejected = [this](const kernel::error& reason) {
        this->dispatch_id = 0;
        this->finish_without_response(
            this->may_have_run ? attempt_outcome::maybe_run : attempt_outcome::not_run, reason);
    };
    if (this->ticket)
        request.on_no_path = [this] {
            this->dispatch_id = 0;
            this->defer([this] { this->refuse_relayed("no path or room at the target"); });
        };
    else if (this->may_relay())
        request.on_no_path = [this] {
            this->dispatch_id = 0;
            this->defer([this] { this->start_relay(); });
        };
    this->dispatch_id = this->services.dispatch.submit(std::move(request));
}

void proxied_request::on_assigned(assignment assigned) {
    this->dispatch_id = 0;
    this->last_target_name = assigned.target->registration.name;
    this->last_target_software = assigned.target->registration.software;
    this->current_assignment = std::move(assigned);
    this->queue_wait_ms = this->elapsed_milliseconds();
    // The dispatcher calls this while it updates its own state, so the attempt starts later.
    this->defer([this] { this->start_attempt(); });
}

void proxied_request::reset_attempt() {
    this->is_event_stream = false;
    this->silence_reported = false;
    this->is_paused = false;
    this->buffered_body = {};
    this->caller->hold(0);
    this->splitter.begin_response();
    this->has_head = false;
    this->was_under_way = false;
    this->earlier_events = this->splitter.event_count();
}

void proxied_request::start_attempt() {
    if (!this->response_started && !this->ends_before_shutdown()) {
        this->reject_for_shutdown();
        return;
    }
    ++this->connect_attempts;
    this->reset_attempt();
    if (this->needs_inspection())
        this->inspect_target();
    else
        this->start_call();
}

void proxied_request::start_call() {
    this->call = this->services.targets.start(this->make_target_request(), *this);
}

http::client_request proxied_request::make_request(const helpers::endpoint& to) const {
    const auto incoming = this->caller->request();
    http::client_request request;
    request.to = to;
    request.method = incoming.method;
    request.host = incoming.authority;
    request.path = incoming.path;
    if (!incoming.query.empty())
        request.path.append("?").append(incoming.query);
    request.shared_body = incoming.body;
    request.connect_timeout = std::min(connect_timeout, this->time_left());
    request.first_byte_timeout = this->time_left() + min_time_left;
    request.idle_timeout = request.first_byte_timeout;
    // On a pooled connection the other side's close may be noticed only after the request was sent,
    // which leaves open whether it ran.
    request.requires_new_connection = !this->route->is_idempotent;
    request.echoed_field = this->services.names.request_id;
    return request;
}

http::client_request proxied_request::make_target_request() const {
    const auto incoming = this->caller->request();
    const auto& target = this->current_assignment->target->registration;
    const auto& names = this->services.names;
    auto request = this->make_request(target.address);
    request.headers = forwarded_headers(incoming.headers, names);
    request.headers.push_back(
        {names.deadline, std::to_string(helpers::whole_milliseconds(this->time_left()))});
    request.headers.push_back({names.expected_target, target.name});
    if (!this->organisation.empty())
        request.headers.push_back({names.organisation, this->organisation});
    if (this->splitter.last_id() && this->response_started) {
        std::erase_if(request.headers,
                      [&](const auto& field) { return field.name == names.last_event_id; });
        request.headers.push_back({names.last_event_id, std::to_string(*this->splitter.last_id())});
    }
    if (this->route->has_prompt_segments) {
        constexpr std::uint32_t least_urgent = 9;
        request.headers.push_back(
            {names.urgency, std::to_string(std::min(this->priority, least_urgent))});
    }
    if (this->current_assignment->prefix_holder)
        request.headers.push_back(
            {names.fetch_from, helpers::to_string(*this->current_assignment->prefix_holder)});
    return request;
}

helpers::duration proxied_request::time_left() const {
    return this->deadline - this->services.loop.time().now();
}

bool proxied_request::on_connected() {
    if (this->current_peer) {
        ++this->attempts;
        this->has_reached_target = true;
        this->arm_silence_timer(this->silence_limit() + relay_silence_slack);
        return true;
    }
    if (!this->services.catalog.is_eligible(*this->current_assignment->target)) {
        this->defer([this] {
            this->finish_attempt(attempt_outcome::not_run,
                                 {error_kind::target_unreachable, "the target is leaving"});
        });
        return false;
    }
    if (this->services.dispatch.is_quiet(*this->current_assignment->target)) {
        this->defer([this] {
            this->finish_attempt(
                attempt_outcome::not_run,
                {error_kind::queue_full, "the target has asked for quiet meanwhile"});
        });
        return false;
    }
    if (!this->begin_at_version()) {
        this->defer([this] {
            this->finish_attempt(
                attempt_outcome::not_run,
                {error_kind::queue_full, "the version may receive nothing meanwhile"});
        });
        return false;
    }
    // A suspect may have been quarantined while the request was queued.
    if (this->quarantine_verdict != crash_guard::verdict::trial &&
        this->services.crashes.is_quarantined(this->suspects)) {
        this->defer([this] {
            this->close_attempt(
                attempt_outcome::not_run,
                {error_kind::request_quarantined, "quarantined while the request was queued"},
                attempt_result::neutral);
            this->request_target();
        });
        return false;
    }
    ++this->attempts;
    this->has_reached_target = true;
    this->arm_silence_timer(this->silence_limit());
    return true;
}

helpers::duration proxied_request::silence_limit() const {
    const auto limit =
        std::max(min_silence_timeout, this->route->objective * silence_timeout_objectives);
    return this->route->is_streaming ? std::min(limit, stream_silence_timeout) : limit;
}

void proxied_request::arm_silence_timer(helpers::duration wait) {
    this->services.loop.cancel(this->silence_timer);
    this->silence_timer = this->services.loop.schedule(wait, [this] {
        this->silence_timer = 0;
        this->on_silence_timeout();
    });
}

void proxied_request::on_silence_timeout() {
    if (this->current_peer) {
        if (this->route->is_idempotent && this->time_left() >= min_time_left)
            this->on_relay_failed({error_kind::target_failed, "the gateway is silent"}, true);
        return;
    }
    if (!std::exchange(this->silence_reported, true))
        this->services.dispatch.on_target_silent(*this->current_assignment);
    if (!this->route->is_idempotent || this->time_left() < min_time_left)
        return;
    if (!this->may_retry(attempt_outcome::maybe_run))
        return;
    // The call is cancelled only because the request can be sent to another target.
    this->close_attempt(attempt_outcome::maybe_run,
                        {error_kind::target_failed, "the target is silent"},
                        attempt_result::neutral);
    this->retry();
}

void proxied_request::on_failed(const kernel::error& reason, bool maybe_sent) {
    if (this->current_peer) {
        this->on_relay_failed(reason, maybe_sent);
        return;
    }
    if (maybe_sent &&
        (reason.kind == error_kind::connection_lost || reason.kind == error_kind::answer_truncated))
        this->report_target_lost();
    this->finish_attempt(maybe_sent ? attempt_outcome::maybe_run : attempt_outcome::not_run,
                         reason);
}

bool proxied_request::may_retry(attempt_outcome outcome) {
    if (this->time_left() < min_time_left || this->connect_attempts >= max_connect_attempts)
        return false;
    if (!this->response_started && !this->ends_before_shutdown())
        return false;
    if (outcome != attempt_outcome::not_run && !this->route->is_idempotent)
        return false;
    if (this->response_started && (!this->route->is_resumable || !this->splitter.last_id()))
        return false;
    if (this->attempts == 0)
        return true;
    const auto earlier = this->ticket ? this->ticket->attempts : 0;
    if (outcome != attempt_outcome::not_run &&
        this->attempts + earlier >= this->route->max_attempts)
        return false;
    return this->spend_retry();
}

bool proxied_request::spend_retry() {
    const auto now = this->services.loop.time().now();
    auto& budget = this->services.dispatch.retry_budget();
    if (budget.try_spend(this->service, now))
        return true;
    ++this->services.counters.retries_refused;
    const auto state = budget.state_of(this->service, now);
    this->services.events.write(kernel::severity::info, "request.retry_refused", std::nullopt,
                                {{"request_id", this->metadata.id},
                                 {"route", this->route->name},
                                 {"left", state.left},
                                 {"burst_share", state.burst_share},
                                 {"after_restart", state.has_restarted}});
    return false;
}

void proxied_request::record_error_response() {
    ++this->error_responses;
    this->sole_failing_target =
        this->error_responses == 1 ? this->current_assignment->target : nullptr;
}

void proxied_request::finish_attempt(attempt_outcome outcome, const kernel::error& reason) {
    if (outcome == attempt_outcome::error_response)
        this->record_error_response();
    // A target that reports a full queue is healthy. An error response is attributed when the
    // request finishes; see sole_failing_target.
    const bool target_is_healthy =
        reason.kind == error_kind::queue_full || outcome == attempt_outcome::error_response;
    const bool has_connected = outcome != attempt_outcome::not_run || this->has_reached_target;
    this->close_attempt(outcome, reason,
                        target_is_healthy ? attempt_result::neutral
                        : has_connected   ? attempt_result::failed
                                          : attempt_result::unreachable);
    if (this->may_retry(outcome))
        this->retry();
    else
        this->defer([this, outcome, reason] { this->finish_without_response(outcome, reason); });
}

void proxied_request::close_attempt(attempt_outcome outcome, const kernel::error& reason,
                                    attempt_result result) {
    this->call.reset();
    this->inspection.reset();
    if (outcome != attempt_outcome::not_run)
        this->version_attempt.end(true, this->services.loop.time().now());
    this->version_attempt.discard();
    this->services.loop.cancel(std::exchange(this->silence_timer, 0));
    this->services.events.write(kernel::severity::warning, "request.attempt_failed", std::nullopt,
                                {{"request_id", this->metadata.id},
                                 {"target", this->last_target_name},
                                 {"software", this->last_target_software},
                                 {"attempt", std::uint64_t{this->connect_attempts}},
                                 {"reason", reason.detail},
                                 {"fault", std::string(kernel::to_string(reason.fault))},
                                 {"may_have_run", outcome != attempt_outcome::not_run},
                                 {"progress", std::string(to_string(this->progress()))},
                                 {"events", this->splitter.event_count() - this->earlier_events},
                                 {"segments", segment_list(this->metadata.prompt)},
                                 {"digest", helpers::to_hex(this->digest)},
                                 {"left_ms", helpers::whole_milliseconds(this->time_left())}});
    this->has_reached_target = false;
    this->may_have_run = this->may_have_run || outcome != attempt_outcome::not_run;
    if (this->current_assignment)
        this->tried_targets.push_back(this->current_assignment->target->serial);
    this->release(result);
}

void proxied_request::retry() {
    if (this->attempts > 0)
        ++this->services.counters.retries;
    if (this->response_started)
        ++this->services.counters.resumed_streams;
    this->defer([this] { this->request_target(); });
}

} // namespace samphirespool::gateway
