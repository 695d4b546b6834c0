// How a request finishes: rejection, broken stream or disconnect, and its log event.
#include "gateway/proxied_request.hpp"

#include "helpers/hex.hpp"
#include "http/error_response.hpp"

#include <algorithm>
#include <utility>

namespace samphirespool::gateway {

namespace {

using kernel::error_kind;
using kernel::request_outcome;

// Retry-After is at most this fraction of the time that the caller has left.
constexpr double retry_after_fraction = 0.3;
constexpr helpers::duration min_retry_after = std::chrono::milliseconds(60);
constexpr helpers::duration max_retry_after = std::chrono::milliseconds(1500);
// An overload lasts for seconds and callers retry once or twice, so that their retries are spread
// over the whole time within which they can retry, without an upper limit in seconds.
constexpr double overload_retry_after_fraction = 0.33;

} // namespace

void proxied_request::finish_without_response(attempt_outcome outcome,
                                              const kernel::error& reason) {
    if (this->response_started) {
        ++this->services.counters.broken_streams;
        // Destroying the exchange without finishing it breaks the connection, so that the caller
        // notices the error.
        this->finish("broken", reason.detail);
        return;
    }
    if (outcome == attempt_outcome::error_response) {
        this->add_relay_fields();
        this->caller->respond(this->status, std::move(this->response_headers), this->buffered_body);
        ++this->services.counters.failed;
        this->finish("error_answer", reason.detail);
        return;
    }
    this->reject(reason, this->outcome());
}

void proxied_request::abort(const kernel::error& reason) {
    if (this->is_finished)
        return;
    // A target that does not answer in time has failed; one that this gateway abandons has not.
    if (reason.kind == error_kind::deadline_exceeded)
        this->version_attempt.end(true, this->services.loop.time().now());
    this->call.reset();
    this->buffered_body = {};
    if (this->response_started) {
        ++this->services.counters.broken_streams;
        this->finish("broken", reason.detail);
        return;
    }
    this->reject(reason, this->outcome());
}

// The request itself is counted since its first byte.
bool proxied_request::check_memory() {
    if (this->services.memory.admits(0))
        return true;
    ++this->services.counters.memory_rejections;
    if (this->ticket)
        this->refuse_relayed("no memory for the request");
    else
        this->reject({error_kind::queue_full, "no memory for the request"},
                     request_outcome::not_run);
    return false;
}

void proxied_request::on_evicted() {
    ++this->services.counters.memory_aborts;
    this->eviction_timer = this->services.loop.schedule(helpers::duration::zero(), [this] {
        this->eviction_timer = 0;
        this->abort({error_kind::internal, "the memory for responses is used up"});
    });
}

request_outcome proxied_request::outcome() const {
    return this->may_have_run || this->has_reached_target ? request_outcome::unknown
                                                          : request_outcome::not_run;
}

helpers::duration proxied_request::retry_after(error_kind reason) const {
    if (reason == error_kind::shutting_down)
        return shutdown_window::reconnect_delay;
    // Spread over half of the time more, so that the first target that serves again does not get
    // all that were told so.
    if (const auto quiet = this->services.dispatch.quiet_time_left(this->service))
        return *quiet + std::chrono::duration_cast<helpers::duration>(
                            *quiet * (this->services.random.fraction() / 2));
    // Waiting does not help; the caller can begin anew once its attempts are used up.
    if (reason == error_kind::stream_origin_unknown && this->stream_is_lost)
        return min_retry_after;
    // An overload, or a quarantine, does not end soon.
    const bool is_overload = reason == error_kind::queue_full ||
                             reason == error_kind::prompt_quarantined ||
                             reason == error_kind::request_quarantined;
    const auto fraction = is_overload ? overload_retry_after_fraction : retry_after_fraction;
    const auto bound =
        std::clamp(std::chrono::duration_cast<helpers::duration>(this->time_left() * fraction),
                   min_retry_after, is_overload ? helpers::duration::max() : max_retry_after);
    // Random, so that requests that are rejected together are not retried together.
    return std::chrono::duration_cast<helpers::duration>(
        bound * (0.5 + this->services.random.fraction() / 2));
}

void proxied_request::reject(const kernel::error& reason, request_outcome outcome) {
    http::error_response response{reason, outcome, this->metadata.id, std::nullopt};
    const auto status_of = [](error_kind kind) {
        return kernel::error_mapping_for(kind).http_status;
    };
    constexpr int unavailable = 503;
    constexpr int timed_out = 504;
    if (outcome == request_outcome::not_run) {
        if (status_of(reason.kind) >= first_server_error && status_of(reason.kind) != unavailable)
            response.reason.kind = error_kind::no_target;
        if (status_of(response.reason.kind) == unavailable)
            response.retry_after =
                this->route == nullptr ? min_retry_after : this->retry_after(response.reason.kind);
        ++this->services.counters.rejected;
    } else {
        if (status_of(reason.kind) != timed_out)
            response.reason.kind = error_kind::target_failed;
        ++this->services.counters.failed;
    }
    http::respond_with_error(*this->caller, response);
    this->finish(kernel::to_string(outcome), response.reason.detail);
}

bool proxied_request::ends_before_shutdown() const {
    const auto& shutdown = this->services.shutdown;
    if (shutdown.admits(this->deadline))
        return true;
    const auto now = this->services.loop.time().now();
    const auto longest =
        this->route->is_streaming
            ? this->services.stream_paces.estimate(helpers::hash_name(this->route->name),
                                                   this->metadata.prompt.output_tokens, now)
            : std::nullopt;
    return longest && shutdown.admits(now + *longest);
}

void proxied_request::reject_for_shutdown() {
    if (this->ticket) {
        this->refuse_relayed("the gateway is leaving");
        return;
    }
    this->caller->close_connection_after();
    this->reject({error_kind::shutting_down, "the gateway is leaving"}, this->outcome());
}

void proxied_request::release(attempt_result result) {
    if (!this->current_assignment)
        return;
    auto released = std::exchange(this->current_assignment, std::nullopt);
    this->services.dispatch.on_attempt_finished(*released, result);
}

void proxied_request::defer(kernel::task work, helpers::duration delay) {
    this->services.loop.cancel(this->deferred_timer);
    this->deferred_timer = this->services.loop.schedule(delay, [this, work = std::move(work)] {
        this->deferred_timer = 0;
        work();
    });
}

std::uint64_t proxied_request::elapsed_milliseconds() const {
    return helpers::whole_milliseconds(this->services.loop.time().now() - this->arrived_at);
}

void proxied_request::finish(std::string_view outcome, std::string_view reason) {
    if (std::exchange(this->is_finished, true))
        return;
    this->services.loop.cancel(std::exchange(this->deadline_timer, 0));
    this->services.loop.cancel(std::exchange(this->silence_timer, 0));
    this->services.loop.cancel(std::exchange(this->deferred_timer, 0));
    this->services.loop.cancel(std::exchange(this->eviction_timer, 0));
    // No callback of the target or the dispatcher may run any more.
    this->call.reset();
    this->inspection.reset();
    if (this->dispatch_id != 0)
        this->services.dispatch.cancel(std::exchange(this->dispatch_id, 0));
    this->end_relay();
    const auto total = this->elapsed_milliseconds();
    if (this->services.latencies.total)
        this->services.latencies.total(static_cast<double>(total) / 1000);
    this->services.events.write(
        kernel::severity::info, "request.ended", std::nullopt,
        {{"request_id", this->metadata.id},
         {"sequence", this->sequence},
         {"route", this->route == nullptr ? std::string() : this->route->name},
         {"organisation", this->organisation},
         {"digest", helpers::to_hex(this->digest)},
         {"version", this->table == nullptr ? 0 : this->table->values().version},
         {"target", this->last_target_name},
         {"software", this->last_target_software},
         {"target_leaving", this->target_is_leaving},
         {"resumes", std::string(this->metadata.resumed_attempt)},
         {"outcome", std::string(outcome)},
         {"reason", std::string(reason)},
         {"status", std::int64_t{this->status}},
         {"sends", std::uint64_t{this->attempts}},
         {"relayed_to", this->last_peer_name},
         {"relayed_from", this->ticket ? this->ticket->from : std::string()},
         {"waited_ms", this->queue_wait_ms},
         {"first_part_ms", this->first_byte_ms},
         {"total_ms", total}});
    this->release(attempt_result::neutral);
    if (this->sole_failing_target != nullptr)
        this->services.dispatch.on_error_response(*this->sole_failing_target);
    this->finished_handler();
}

} // namespace samphirespool::gateway
