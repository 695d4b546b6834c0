// Events of one request and what follows from them.
#include "gateway/proxied_request.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace samphirespool::gateway {

namespace {

using kernel::error_kind;
using kernel::request_outcome;

// A machine in the same region accepts a connection within a few milliseconds; one that does not
// is most likely gone, and another target is asked.
constexpr helpers::duration connect_timeout = std::chrono::milliseconds(250);
constexpr std::uint32_t most_connects = 6;
// What is left must suffice for another attempt.
constexpr helpers::duration least_time_left = std::chrono::milliseconds(40);
// Without a deadline of the caller or a timeout of the route.
constexpr helpers::duration default_deadline = std::chrono::seconds(60);
// Silence after which a request that may be repeated is sent elsewhere, in objectives.
constexpr int silent_objectives = 3;
constexpr helpers::duration least_silence = std::chrono::milliseconds(250);
// Callers give a stream up after two seconds of silence.
constexpr helpers::duration stream_silence = std::chrono::milliseconds(1200);
// A request waits for a target for its objective or a quarter of its time, but no longer than
// this: callers give up silent answers after two seconds.
constexpr helpers::duration longest_wait = std::chrono::milliseconds(1400);
constexpr int wait_fraction = 4;
// The rest of an objective is for the target's work.
constexpr int waiting_fraction = 2;
constexpr std::size_t most_held_bytes = std::size_t{4} << 20;
constexpr std::size_t high_water_bytes = std::size_t{256} << 10;
constexpr int status_misdirected = 421;
constexpr int first_redirect = 300;
constexpr int first_success = 200;

bool is_success(int status) {
    return status >= first_success && status < first_redirect;
}

// Callers take these to mean that the request has not run.
bool is_promise(int status) {
    constexpr std::array<int, 4> promises{408, 421, 429, 503};
    return std::find(promises.begin(), promises.end(), status) != promises.end();
}

} // namespace

proxied_request::proxied_request(request_services& services, std::unique_ptr<http::exchange> caller,
                                 std::shared_ptr<const routing::route_table> table,
                                 helpers::time_point arrived, std::uint64_t sequence,
                                 std::function<void()> ended)
    : services(services),
      caller(std::move(caller)),
      table(std::move(table)),
      sequence(sequence),
      ended(std::move(ended)),
      facts(read_request_facts(this->caller->request(), services.names)),
      began(arrived) {}

proxied_request::~proxied_request() {
    this->services.loop.cancel(this->deadline_timer);
    this->services.loop.cancel(this->silence_timer);
    this->services.loop.cancel(this->later_timer);
    this->call.reset();
    if (this->ticket != 0)
        this->services.dispatch.withdraw(this->ticket);
    this->release(result::neutral);
}

void proxied_request::start() {
    ++this->services.counters.requests;
    if (this->services.leaving)
        this->caller->close_connection_after();
    if (!this->admit())
        return;
    const auto now = this->services.loop.time().now();
    const auto timeout =
        this->route->timeout > helpers::duration::zero() ? this->route->timeout : default_deadline;
    this->deadline = this->began + std::min(this->facts.deadline.value_or(timeout), timeout);
    this->deadline_timer = this->services.loop.schedule(this->left(), [this] {
        this->deadline_timer = 0;
        this->give_up({error_kind::deadline_exceeded, "no answer within the time limit"});
    });
    this->caller->on_departed([this] {
        ++this->services.counters.departed;
        this->end("departed", "the caller closed its connection");
    });
    this->caller->on_drained([this] {
        if (this->call != nullptr)
            this->call->resume();
    });
    this->service = routing::pick_service(*this->route, this->services.random.fraction());
    this->services.dispatch.repeats().record_request(this->service, now);
    this->ask_for_target();
}

bool proxied_request::admit() {
    const auto asked = this->caller->request();
    if (this->table == nullptr) {
        this->refuse({error_kind::not_ready, "no configuration yet"}, request_outcome::not_run);
        return false;
    }
    this->route = this->table->find_route(asked.authority, asked.path);
    if (this->route == nullptr) {
        this->refuse({error_kind::not_found, "no route for this host and path"},
                     request_outcome::not_run);
        return false;
    }
    this->priority = this->route->priority;
    return this->check_key();
}

bool proxied_request::check_key() {
    const auto* holder = this->table->find_key(this->facts.key);
    if (holder != nullptr) {
        this->organisation = holder->organisation;
        this->priority = holder->priority.value_or(this->priority);
        return true;
    }
    if (!this->table->values().has_organisations || this->route->is_public)
        return true;
    this->refuse({error_kind::unauthorized, "the key is unknown"}, request_outcome::not_run);
    return false;
}

void proxied_request::ask_for_target() {
    const auto now = this->services.loop.time().now();
    const auto patience =
        std::min(longest_wait,
                 std::max(this->route->objective, (this->deadline - this->began) / wait_fraction));
    dispatch_ticket wanted;
    wanted.service = this->service;
    wanted.prompt = &this->facts.prompt;
    wanted.priority = this->priority;
    wanted.organisation = helpers::id_of<helpers::organisation_id>(this->organisation);
    wanted.wait_until = std::min(this->began + patience, this->deadline);
    wanted.in_time_until = this->began + this->route->objective / waiting_fraction;
    if (this->answer_begun) {
        wanted.wait_until = std::min(now + stream_silence / 2, this->deadline);
        wanted.in_time_until = wanted.wait_until;
    }
    wanted.tried = this->tried;
    wanted.assigned = [this](assignment made) { this->on_assigned(std::move(made)); };
    wanted.refused = [this](const kernel::error& reason) {
        this->ticket = 0;
        this->finish_without_answer(
            this->may_have_run ? attempt_end::maybe_run : attempt_end::not_run, reason);
    };
    this->ticket = this->services.dispatch.ask(std::move(wanted));
}

void proxied_request::on_assigned(assignment made) {
    this->ticket = 0;
    this->last_target = made.target->facts.name;
    this->current = std::move(made);
    this->waited_ms = this->milliseconds_since_start();
    // The dispatcher is still in its own work.
    this->later([this] { this->send(); });
}

void proxied_request::send() {
    ++this->connects;
    this->has_events = false;
    this->suspected = false;
    this->held.clear();
    this->splitter.restart();
    this->call = this->services.targets.start(this->make_call(), *this);
}

http::client_request proxied_request::make_call() const {
    const auto asked = this->caller->request();
    const auto& target = this->current->target->facts;
    const auto& names = this->services.names;
    http::client_request request;
    request.to = target.address;
    request.method = asked.method;
    request.host = asked.authority;
    request.path = asked.path;
    if (!asked.query.empty())
        request.path.append("?").append(asked.query);
    request.headers = forwarded_fields(asked.headers, names);
    request.headers.push_back(
        {names.deadline, std::to_string(helpers::whole_milliseconds(this->left()))});
    request.headers.push_back({names.expected_target, target.name});
    if (!this->organisation.empty())
        request.headers.push_back({names.organisation, this->organisation});
    if (this->splitter.last_id() && this->answer_begun) {
        std::erase_if(request.headers,
                      [&](const auto& field) { return field.name == names.last_event; });
        request.headers.push_back({names.last_event, std::to_string(*this->splitter.last_id())});
    }
    if (this->route->has_prompt_parts) {
        constexpr std::uint32_t least_urgent = 9;
        request.headers.push_back(
            {names.urgency, std::to_string(std::min(this->priority, least_urgent))});
    }
    if (this->current->holder)
        request.headers.push_back({names.fetch_from, helpers::to_string(*this->current->holder)});
    request.body = asked.body;
    request.connect_timeout = std::min(connect_timeout, this->left());
    request.first_byte_timeout = this->left() + least_time_left;
    request.idle_timeout = request.first_byte_timeout;
    // A pooled connection may turn out closed only after the request has left on it.
    request.fresh_connection = !this->route->is_idempotent;
    return request;
}

helpers::duration proxied_request::left() const {
    return this->deadline - this->services.loop.time().now();
}

bool proxied_request::on_connected() {
    if (!this->services.catalog.may_get_work(*this->current->target)) {
        this->later([this] {
            this->attempt_ended(attempt_end::not_run,
                                {error_kind::target_unreachable, "the target is leaving"});
        });
        return false;
    }
    ++this->sends;
    this->is_at_target = true;
    const auto patience = std::max(least_silence, this->route->objective * silent_objectives);
    this->arm_silence(this->route->is_streaming ? std::min(patience, stream_silence) : patience);
    return true;
}

void proxied_request::arm_silence(helpers::duration wait) {
    this->services.loop.cancel(this->silence_timer);
    this->silence_timer = this->services.loop.schedule(wait, [this] {
        this->silence_timer = 0;
        this->on_silence();
    });
}

void proxied_request::on_silence() {
    if (!std::exchange(this->suspected, true))
        this->services.dispatch.on_suspicion(*this->current);
    if (!this->route->is_idempotent || this->left() < least_time_left)
        return;
    if (!this->may_send_again(attempt_end::maybe_run))
        return;
    // The call is given up only if the request can go elsewhere.
    this->close_attempt(attempt_end::maybe_run, {error_kind::target_failed, "the target is silent"},
                        result::neutral);
    this->send_again();
}

bool proxied_request::is_own_answer(const http::header_list& headers) const {
    return http::find_header(headers, this->services.names.request_id) == this->facts.id;
}

void proxied_request::read_target_state(const http::header_list& headers) {
    const auto& names = this->services.names;
    if (const auto load = http::find_header(headers, names.target_load))
        if (const auto report = parse_load(*load))
            this->services.dispatch.on_load(*this->current, *report);
}

void proxied_request::on_head(int given, const http::header_list& headers) {
    const auto& names = this->services.names;
    this->read_target_state(headers);
    if (given == status_misdirected) {
        this->services.catalog.note_replaced(this->current->target->serial);
        this->attempt_ended(attempt_end::not_run,
                            {error_kind::target_unreachable, "another target has the address"});
        return;
    }
    if (http::find_header(headers, names.not_run)) {
        this->attempt_ended(attempt_end::not_run,
                            {error_kind::queue_full, "the target did not run the request"});
        return;
    }
    // Without a seal neither a success nor a promise that nothing ran is the target's word.
    const bool needs_seal = is_success(given) || is_promise(given);
    if (!this->is_own_answer(headers) || (needs_seal && !http::find_header(headers, names.seal))) {
        this->attempt_ended(attempt_end::maybe_run,
                            {error_kind::target_failed, "the answer is not of this request"});
        return;
    }
    if (this->answer_begun && !is_success(given)) {
        this->attempt_ended(attempt_end::maybe_run,
                            {error_kind::answer_truncated, "the stream was not continued"});
        return;
    }
    const auto type = http::find_header(headers, "content-type").value_or("");
    this->has_events =
        is_success(given) && (this->route->is_streaming || type.starts_with("text/event-stream"));
    if (this->answer_begun)
        return;
    this->status = given;
    this->answer_fields = returned_fields(headers);
}

void proxied_request::on_body(std::span<const char> data) {
    if (!this->has_events) {
        this->held.append(data.data(), data.size());
        if (this->held.size() > most_held_bytes)
            this->attempt_ended(attempt_end::maybe_run,
                                {error_kind::target_failed, "the answer is too long"});
        return;
    }
    this->pass_events(this->splitter.take({data.data(), data.size()}));
}

void proxied_request::pass_events(std::string_view events) {
    if (events.empty())
        return;
    if (this->current->prompt_pending)
        this->services.dispatch.on_prompt_done(*this->current);
    this->begin_answer();
    this->arm_silence(std::max(stream_silence, least_silence));
    this->caller->write(events);
    if (this->caller->buffered() > high_water_bytes && this->call != nullptr)
        this->call->pause();
}

void proxied_request::begin_answer() {
    if (std::exchange(this->answer_begun, true))
        return;
    this->first_part_ms = this->milliseconds_since_start();
    if (this->services.latencies.first_part)
        this->services.latencies.first_part(static_cast<double>(this->first_part_ms) / 1000);
    this->caller->begin(this->status, std::move(this->answer_fields));
}

void proxied_request::on_done() {
    if (this->has_events && !this->splitter.at_boundary()) {
        this->attempt_ended(attempt_end::maybe_run,
                            {error_kind::answer_truncated, "the stream ended within an event"});
        return;
    }
    if (this->status >= first_server_error && !this->answer_begun) {
        this->attempt_ended(attempt_end::error_answer,
                            {error_kind::target_failed, "the target answered with an error"});
        return;
    }
    this->complete();
}

void proxied_request::complete() {
    this->release(result::succeeded);
    if (this->has_events) {
        this->begin_answer();
        this->caller->finish();
    } else {
        this->first_part_ms = this->milliseconds_since_start();
        this->caller->respond(this->status, std::move(this->answer_fields), this->held);
    }
    ++this->services.counters.answered;
    this->end("answered", "");
}

void proxied_request::on_failed(const kernel::error& reason, bool maybe_sent) {
    this->attempt_ended(maybe_sent ? attempt_end::maybe_run : attempt_end::not_run, reason);
}

bool proxied_request::may_send_again(attempt_end how) {
    if (this->left() < least_time_left || this->connects >= most_connects)
        return false;
    if (how != attempt_end::not_run && !this->route->is_idempotent)
        return false;
    if (this->answer_begun && !this->route->is_resumable)
        return false;
    if (this->sends == 0)
        return true;
    if (how != attempt_end::not_run && this->sends >= this->route->max_attempts)
        return false;
    return this->services.dispatch.repeats().try_spend(this->service,
                                                       this->services.loop.time().now());
}

void proxied_request::note_error_answer() {
    ++this->error_answers;
    this->erring = this->error_answers == 1 ? this->current->target : nullptr;
}

void proxied_request::attempt_ended(attempt_end how, const kernel::error& reason) {
    if (how == attempt_end::error_answer)
        this->note_error_answer();
    // A full target says so and is sound; an error answer is judged when the request ends.
    const bool is_sound = reason.kind == error_kind::queue_full || how == attempt_end::error_answer;
    this->close_attempt(how, reason, is_sound ? result::neutral : result::failed);
    if (this->may_send_again(how))
        this->send_again();
    else
        this->later([this, how, reason] { this->finish_without_answer(how, reason); });
}

void proxied_request::close_attempt(attempt_end how, const kernel::error& reason, result judged) {
    this->call.reset();
    this->services.loop.cancel(std::exchange(this->silence_timer, 0));
    this->services.events.write(kernel::severity::warning, "request.attempt_failed", std::nullopt,
                                {{"request_id", this->facts.id},
                                 {"target", this->last_target},
                                 {"attempt", std::uint64_t{this->connects}},
                                 {"reason", reason.detail},
                                 {"may_have_run", how != attempt_end::not_run},
                                 {"left_ms", helpers::whole_milliseconds(this->left())}});
    this->is_at_target = false;
    this->may_have_run = this->may_have_run || how != attempt_end::not_run;
    if (this->current)
        this->tried.push_back(this->current->target->serial);
    this->release(judged);
}

void proxied_request::send_again() {
    if (this->sends > 0)
        ++this->services.counters.repeats;
    if (this->answer_begun)
        ++this->services.counters.resumed;
    this->later([this] { this->ask_for_target(); });
}

} // namespace samphirespool::gateway
