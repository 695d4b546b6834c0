// The response of a target: its head, its body or events, and what it says of the target and of the
// prompt.
#include "gateway/proxied_request.hpp"
#include "gateway/response_status.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace samphirespool::gateway {

namespace {

using kernel::error_kind;

constexpr std::size_t max_buffered_bytes = std::size_t{4} << 20;
constexpr std::size_t max_event_bytes = std::size_t{256} << 10;
// Longer values of a target's header fields are cut off in the log.
constexpr std::size_t max_logged_value = 32;
constexpr int status_unavailable = 503;
constexpr int status_misdirected = 421;
constexpr int status_ok = 200;

} // namespace

std::string_view proxied_request::to_string(response_progress progress) {
    constexpr std::array<std::string_view, 3> names{"none", "begun", "under_way"};
    return names.at(static_cast<std::size_t>(progress));
}

bool proxied_request::matches_request_id(const http::header_list& headers) const {
    return http::find_header(headers, this->services.names.request_id) == this->metadata.id;
}

void proxied_request::read_occupancy_report(const http::header_list& headers) {
    const auto& names = this->services.names;
    if (const auto load = http::find_header(headers, names.target_load))
        if (const auto report = parse_occupancy_report(*load))
            this->services.dispatch.on_occupancy_report(*this->current_assignment, *report);
}

void proxied_request::read_target_limit(const http::header_list& headers) {
    const auto text = http::find_header(headers, this->services.names.target_limit);
    const auto per_second = text ? admission::parse_request_rate(*text) : std::nullopt;
    if (!text || per_second) {
        this->services.dispatch.on_limit(*this->current_assignment, per_second);
        return;
    }
    // What the target named before stays in force.
    this->services.events.write(kernel::severity::warning, "target.limit_rejected", std::nullopt,
                                {{"request_id", this->metadata.id},
                                 {"target", this->last_target_name},
                                 {"value", std::string(text->substr(0, max_logged_value))}});
}

void proxied_request::read_brittleness(const http::header_list& headers) {
    const auto text = http::find_header(headers, this->services.names.target_brittle);
    const auto limit = text ? admission::parse_rejection_limit(*text) : std::nullopt;
    this->services.dispatch.on_brittleness(*this->current_assignment, limit);
    if (text && !limit)
        this->services.events.write(kernel::severity::warning, "target.brittleness_rejected",
                                    std::nullopt,
                                    {{"request_id", this->metadata.id},
                                     {"target", this->last_target_name},
                                     {"value", std::string(text->substr(0, max_logged_value))}});
}

void proxied_request::read_quiet_time(const http::header_list& headers) {
    const auto text = http::find_header(headers, "retry-after");
    if (!text)
        return;
    if (const auto time = admission::parse_quiet_time(*text)) {
        this->services.dispatch.on_quiet(*this->current_assignment, *time);
        return;
    }
    this->services.events.write(kernel::severity::warning, "target.quiet_rejected", std::nullopt,
                                {{"request_id", this->metadata.id},
                                 {"target", this->last_target_name},
                                 {"value", std::string(text->substr(0, max_logged_value))}});
}

void proxied_request::read_leaving(const http::header_list& headers, std::uint64_t target) {
    this->target_is_leaving =
        http::find_header(headers, this->services.names.target_leaving) == "1";
    if (this->target_is_leaving)
        this->services.catalog.mark_leaving(target);
}

void proxied_request::on_head(int response_status, const http::header_list& headers) {
    if (this->current_peer) {
        this->on_relay_head(response_status, headers);
        return;
    }
    const auto& names = this->services.names;
    this->has_head = true;
    // A late copy of the response to another request says nothing of this one or of the target. A
    // refusal may lack the id: its connection has carried no other response without one, see
    // client_request::echoed_field.
    if (http::find_header(headers, names.request_id).value_or(this->metadata.id) !=
        this->metadata.id) {
        this->on_broken_response(this->broken_response(kernel::response_fault::other_request,
                                                       "the response belongs to another request"));
        return;
    }
    this->read_occupancy_report(headers);
    if (response_status == status_misdirected) {
        this->services.catalog.remove_replaced(this->current_assignment->target->serial,
                                               this->services.loop.time().now());
        this->finish_attempt(
            attempt_outcome::not_run,
            {error_kind::target_unreachable, "a target of another name responded at the address"});
        return;
    }
    this->read_leaving(headers, this->current_assignment->target->serial);
    this->read_target_limit(headers);
    this->read_brittleness(headers);
    if (http::find_header(headers, names.not_run)) {
        if (response_status == status_unavailable) {
            this->read_quiet_time(headers);
            this->services.dispatch.on_rejected_by_target(*this->current_assignment);
        }
        this->finish_attempt(attempt_outcome::not_run,
                             {error_kind::queue_full, "the target did not run the request"});
        return;
    }
    auto reason = this->check_origin(response_status, headers);
    if (!reason)
        reason = this->accept_head(response_status, headers);
    if (reason)
        this->on_broken_response(*reason);
}

void proxied_request::on_broken_response(const kernel::error& reason) {
    if (this->current_peer)
        this->on_relay_failed(reason, true);
    else
        this->finish_attempt(attempt_outcome::maybe_run, reason);
}

kernel::error proxied_request::broken_response(kernel::response_fault fault, std::string detail) {
    this->services.counters.response_faults.add(fault);
    if (this->call != nullptr)
        this->call->discard_connection();
    return {error_kind::target_failed, std::move(detail), fault};
}

// A success, or a status that states that nothing ran, counts only if the target itself produced
// it, which the seal shows.
std::optional<kernel::error> proxied_request::check_origin(int response_status,
                                                           const http::header_list& headers) {
    if (!this->matches_request_id(headers))
        return this->broken_response(kernel::response_fault::other_request,
                                     "the response does not name this request");
    const bool needs_seal = is_success(response_status) || means_not_run(response_status);
    if (needs_seal && !http::find_header(headers, this->services.names.seal))
        return this->broken_response(kernel::response_fault::no_seal,
                                     "the response has no seal of a target");
    return std::nullopt;
}

std::optional<kernel::error> proxied_request::accept_head(int response_status,
                                                          const http::header_list& headers) {
    const auto type = http::find_header(headers, "content-type").value_or("");
    const bool is_event_type = type.starts_with("text/event-stream");
    if (this->response_started) {
        if (response_status != status_ok ||
            (!is_event_type && (this->has_event_type || !type.empty())))
            return this->broken_response(kernel::response_fault::not_an_event_stream,
                                         "the response does not resume the stream");
        this->is_event_stream = true;
        return std::nullopt;
    }
    this->is_event_stream =
        is_success(response_status) && (this->route->is_streaming || is_event_type);
    this->has_event_type = is_event_type;
    this->status = response_status;
    this->response_headers = returned_headers(headers);
    return std::nullopt;
}

void proxied_request::on_body(std::span<const char> data) {
    if (!this->is_event_stream) {
        this->buffered_body.append(data.data(), data.size());
        if (this->buffered_body.size() > max_buffered_bytes)
            this->on_broken_response(this->broken_response(kernel::response_fault::body_size,
                                                           "the response body exceeds 4 MiB"));
        else
            this->caller->hold(this->buffered_body.capacity());
        return;
    }
    this->forward_events(this->splitter.append({data.data(), data.size()}));
    if (this->splitter.is_out_of_order())
        this->on_broken_response(
            this->broken_response(kernel::response_fault::event_order,
                                  "the events do not follow those that the caller has"));
    else if (this->splitter.partial_bytes() > max_event_bytes)
        this->on_broken_response(
            this->broken_response(kernel::response_fault::event_size, "an event exceeds 256 KiB"));
    else
        this->caller->hold(this->splitter.partial_bytes());
}

void proxied_request::forward_events(std::string_view events) {
    if (events.empty())
        return;
    if (this->current_assignment && this->current_assignment->prompt_pending)
        this->services.dispatch.on_prompt_processed(*this->current_assignment);
    if (this->progress() == response_progress::under_way)
        this->report_under_way();
    this->version_attempt.on_events(this->splitter.event_count() - this->counted_events,
                                    this->services.loop.time().now());
    this->counted_events = this->splitter.event_count();
    this->begin_response();
    this->arm_silence_timer(this->stream_silence_limit());
    this->caller->write(events);
    if (this->caller->buffered() > this->services.memory.buffer_limit() && this->call != nullptr)
        this->pause_target();
}

helpers::duration proxied_request::stream_silence_limit() const {
    // Callers abandon a stream after a pause of two seconds, or of these multiples if they are
    // longer.
    constexpr int abandon_objectives = 4;
    constexpr int abandon_gaps = 8;
    // The share of that time after which another target goes on; the rest is for that target.
    constexpr int silence_share = 3;
    constexpr int silence_whole = 5;
    const auto abandon_after = std::max(this->route->objective * abandon_objectives,
                                        this->route->event_gap * abandon_gaps);
    const auto limit =
        std::max(stream_silence_timeout, abandon_after * silence_share / silence_whole);
    return this->current_peer ? limit + relay_silence_slack : limit;
}

// A target that is not read cannot be told from a silent one, so its silence is not measured.
void proxied_request::pause_target() {
    this->is_paused = true;
    this->services.loop.cancel(std::exchange(this->silence_timer, 0));
    this->call->pause();
}

void proxied_request::resume_target() {
    if (this->call == nullptr)
        return;
    if (std::exchange(this->is_paused, false))
        this->arm_silence_timer(this->stream_silence_limit());
    this->call->resume();
}

void proxied_request::begin_response() {
    if (std::exchange(this->response_started, true))
        return;
    this->record_stream_origin();
    this->first_byte_ms = this->elapsed_milliseconds();
    if (this->services.latencies.first_byte)
        this->services.latencies.first_byte(static_cast<double>(this->first_byte_ms) / 1000);
    this->add_relay_fields();
    this->caller->begin(this->status, std::move(this->response_headers));
}

void proxied_request::record_stream_origin() {
    if (this->current_assignment)
        this->stream_software = this->current_assignment->target->software_hash;
    if (!this->is_event_stream || !this->route->is_resumable || !this->stream_software)
        return;
    const auto attempt = this->takes_up_stream() && !this->metadata.resumed_attempt.empty()
                             ? this->metadata.resumed_attempt
                             : std::string_view(this->metadata.id);
    this->services.origins.record(attempt, *this->stream_software,
                                  this->services.loop.time().now());
}

void proxied_request::on_done() {
    // A stream without a length ends with its connection, also if its target crashes. A response
    // without an event does not show that the stream which it should continue was whole.
    const bool is_empty =
        this->status == status_ok && this->splitter.event_count() == this->earlier_events;
    if (this->is_event_stream && (!this->splitter.at_boundary() || is_empty)) {
        this->report_target_lost();
        auto reason = this->broken_response(kernel::response_fault::incomplete_events,
                                            is_empty ? "the stream ended before its first event"
                                                     : "the stream ended inside an event");
        reason.kind = error_kind::answer_truncated;
        this->on_broken_response(reason);
        return;
    }
    if (this->status >= first_server_error && !this->response_started && !this->current_peer) {
        this->finish_attempt(attempt_outcome::error_response,
                             {error_kind::target_failed, "the target responded with an error"});
        return;
    }
    this->complete();
}

void proxied_request::complete() {
    if (!this->is_event_stream || this->splitter.event_count() > this->earlier_events)
        this->report_under_way();
    if (this->current_peer)
        this->services.peers.on_served(this->current_peer->name, this->service);
    this->end_relay();
    this->version_attempt.end(false, this->services.loop.time().now());
    this->release(attempt_result::succeeded);
    if (this->is_event_stream) {
        this->begin_response();
        this->caller->finish();
        const auto now = this->services.loop.time().now();
        this->services.stream_paces.record(helpers::hash_name(this->route->name),
                                           this->metadata.prompt.output_tokens,
                                           now - this->arrived_at, now);
    } else {
        this->first_byte_ms = this->elapsed_milliseconds();
        this->add_relay_fields();
        this->caller->respond(this->status, std::move(this->response_headers), this->buffered_body);
    }
    ++this->services.counters.responded;
    this->finish("answered", "");
}

proxied_request::response_progress proxied_request::progress() const {
    if (!this->has_head)
        return response_progress::none;
    return this->splitter.event_count() - this->earlier_events < events_under_way
               ? response_progress::begun
               : response_progress::under_way;
}

bool proxied_request::begin_at_version() {
    // A relayed request was counted by no other gateway, unless that one has sent it before.
    const bool is_first = this->attempts == 0 && (!this->ticket || this->ticket->attempts == 0);
    return this->version_attempt.begin(
        *this->current_assignment->target, this->current_assignment->side,
        this->stream_software.has_value(), helpers::hash_name(this->route->name), is_first,
        this->services.loop.time().now());
}

void proxied_request::report_target_lost() {
    if (this->progress() == response_progress::under_way || !this->current_assignment)
        return;
    this->services.crashes.on_target_lost(
        this->suspects, this->current_assignment->target->incarnation_hash,
        this->progress() == response_progress::begun, this->quarantine_verdict);
}

void proxied_request::report_under_way() {
    if (!std::exchange(this->was_under_way, true))
        this->services.crashes.on_under_way(this->suspects);
}

} // namespace samphirespool::gateway
