// A stream that its caller takes up again goes on only at the software version that began it.
#include "gateway/proxied_request.hpp"

#include <charconv>

namespace samphirespool::gateway {

namespace {

// A request whose stream's origin is looked up asks again after this time.
constexpr helpers::duration lookup_interval = std::chrono::milliseconds(20);

} // namespace

bool proxied_request::takes_up_stream() const {
    return this->route->is_streaming && this->route->is_resumable &&
           !this->metadata.last_event_id.empty();
}

void proxied_request::resume_stream() {
    const auto text = this->metadata.last_event_id;
    std::uint64_t id = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), id);
    if (this->takes_up_stream() && parsed.ec == std::errc())
        this->splitter.resume_after(id);
}

// A caller that names no attempt gives no record to find. The key is unique to this request, so
// that an answer that the hub gave for an earlier stream does not apply.
std::string proxied_request::origin_key() const {
    if (!this->metadata.resumed_attempt.empty())
        return std::string(this->metadata.resumed_attempt);
    return "unnamed " + std::string(this->metadata.id) + " " + std::to_string(this->sequence);
}

bool proxied_request::resolve_software() {
    if (this->stream_software || !this->takes_up_stream())
        return true;
    const auto now = this->services.loop.time().now();
    const auto key = this->origin_key();
    const auto& catalog = this->services.catalog;
    const auto longest_stream = routing::longest_stream(*this->route);
    const auto only = catalog.only_software(this->service, longest_stream, now);
    this->stream_software = this->services.origins.find(key);
    // A target of another version may have joined, and the stream have begun there, while this
    // gateway was cut off or paused.
    if (!this->stream_software && only && catalog.is_complete_for(longest_stream, now) &&
        this->services.target_feed.confirm_since(this->arrived_at))
        this->stream_software = only;
    if (this->stream_software)
        return true;
    // Without an attempt, a hub could only name the version that is the only one here too.
    const bool is_answerable = !this->metadata.resumed_attempt.empty() || only;
    if (!is_answerable || this->services.origins.is_unknown(key, now) ||
        now + lookup_interval >= this->queue_deadline()) {
        this->stream_is_lost = !is_answerable || this->services.origins.is_lost(key);
        this->finish_without_response(attempt_outcome::not_run,
                                      {kernel::error_kind::stream_origin_unknown,
                                       "the software version that began the stream is unknown"});
        return false;
    }
    this->services.origins.look_up(key, now, this->service.value);
    this->defer([this] { this->request_target(); }, lookup_interval);
    return false;
}

// Only engines state their incarnation.
bool proxied_request::needs_inspection() const {
    if (!this->stream_software || (!this->response_started && !this->takes_up_stream()))
        return false;
    const auto* configured = this->table->find_service(this->service);
    return configured != nullptr && configured->engine &&
           this->current_assignment->target->registration.started_at != 0;
}

void proxied_request::inspect_target() {
    this->inspection = std::make_unique<target_inspection>(
        this->services.targets, this->services.codec,
        this->current_assignment->target->registration.address,
        [this](std::size_t held) { this->caller->hold(held); },
        [this](std::optional<std::int64_t> started_at) {
            this->defer([this, started_at] { this->on_inspected(started_at); });
        });
}

void proxied_request::on_inspected(std::optional<std::int64_t> started_at) {
    this->inspection.reset();
    this->caller->hold(0);
    const auto& expected = this->current_assignment->target->registration;
    if (started_at == expected.started_at) {
        this->start_call();
        return;
    }
    this->services.events.write(kernel::severity::warning, "target.incarnation_differs",
                                std::nullopt,
                                {{"request_id", this->metadata.id},
                                 {"target", expected.name},
                                 {"registered_start", expected.started_at},
                                 {"stated_start", started_at.value_or(0)}});
    this->close_attempt(
        attempt_outcome::not_run,
        {kernel::error_kind::target_unreachable, "the target is not the incarnation of its entry"},
        attempt_result::neutral);
    if (this->time_left() < helpers::duration::zero() ||
        this->connect_attempts >= max_connect_attempts)
        this->finish_without_response(attempt_outcome::not_run,
                                      {kernel::error_kind::no_target,
                                       "no target of the stream's version has stated its start"});
    else
        this->request_target();
}

} // namespace samphirespool::gateway
