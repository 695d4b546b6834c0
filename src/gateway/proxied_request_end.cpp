// The ends of a request: refusal, broken stream, departure; and the line that tells of it.
#include "gateway/proxied_request.hpp"

#include "http/error_response.hpp"

#include <algorithm>
#include <utility>

namespace samphirespool::gateway {

namespace {

using kernel::error_kind;
using kernel::request_outcome;

// Callers come back after at most a third of the time that they have left.
constexpr double retry_fraction = 0.3;
constexpr helpers::duration shortest_retry = std::chrono::milliseconds(60);
constexpr helpers::duration longest_retry = std::chrono::milliseconds(1500);
// An overload lasts for seconds and callers retry once or twice, so they are spread over all of the
// time after which they may come back.
constexpr double overload_retry_fraction = 0.33;

} // namespace

void proxied_request::finish_without_answer(attempt_end how, const kernel::error& reason) {
    if (this->answer_begun) {
        ++this->services.counters.broken_streams;
        // Destroying the exchange breaks the connection, so that the caller sees the fault.
        this->end("broken", reason.detail);
        return;
    }
    if (how == attempt_end::error_answer) {
        this->caller->respond(this->status, std::move(this->answer_fields), this->held);
        ++this->services.counters.failed;
        this->end("error_answer", reason.detail);
        return;
    }
    this->refuse(reason, this->outcome());
}

void proxied_request::give_up(const kernel::error& reason) {
    if (this->has_ended)
        return;
    this->call.reset();
    if (this->answer_begun) {
        ++this->services.counters.broken_streams;
        this->end("broken", reason.detail);
        return;
    }
    this->refuse(reason, this->outcome());
}

request_outcome proxied_request::outcome() const {
    return this->may_have_run || this->is_at_target ? request_outcome::unknown
                                                    : request_outcome::not_run;
}

helpers::duration proxied_request::retry_after(error_kind reason) const {
    const bool is_overload = reason == error_kind::queue_full;
    const auto fraction = is_overload ? overload_retry_fraction : retry_fraction;
    const auto bound =
        std::clamp(std::chrono::duration_cast<helpers::duration>(this->left() * fraction),
                   shortest_retry, is_overload ? helpers::duration::max() : longest_retry);
    // Spread, so that those who were refused together do not come back together.
    return std::chrono::duration_cast<helpers::duration>(
        bound * (0.5 + this->services.random.fraction() / 2));
}

void proxied_request::refuse(const kernel::error& reason, request_outcome outcome) {
    http::error_response answer{reason, outcome, this->facts.id, std::nullopt};
    const auto status_of = [](error_kind kind) { return kernel::answer_for(kind).http_status; };
    constexpr int unavailable = 503;
    constexpr int timed_out = 504;
    if (outcome == request_outcome::not_run) {
        if (status_of(reason.kind) >= first_server_error && status_of(reason.kind) != unavailable)
            answer.reason.kind = error_kind::no_target;
        if (status_of(answer.reason.kind) == unavailable)
            answer.retry_after =
                this->route == nullptr ? shortest_retry : this->retry_after(answer.reason.kind);
        ++this->services.counters.refused;
    } else {
        if (status_of(reason.kind) != timed_out)
            answer.reason.kind = error_kind::target_failed;
        ++this->services.counters.failed;
    }
    http::respond_with_error(*this->caller, answer);
    this->end(kernel::to_string(outcome), answer.reason.detail);
}

void proxied_request::release(result how) {
    if (!this->current)
        return;
    auto released = std::exchange(this->current, std::nullopt);
    this->services.dispatch.on_ended(*released, how);
}

void proxied_request::later(kernel::task work) {
    this->services.loop.cancel(this->later_timer);
    this->later_timer =
        this->services.loop.schedule(helpers::duration::zero(), [this, work = std::move(work)] {
            this->later_timer = 0;
            work();
        });
}

std::uint64_t proxied_request::milliseconds_since_start() const {
    return helpers::whole_milliseconds(this->services.loop.time().now() - this->began);
}

void proxied_request::end(std::string_view outcome, std::string_view reason) {
    if (std::exchange(this->has_ended, true))
        return;
    this->services.loop.cancel(std::exchange(this->deadline_timer, 0));
    this->services.loop.cancel(std::exchange(this->silence_timer, 0));
    this->services.loop.cancel(std::exchange(this->later_timer, 0));
    // Nothing of the target or the queue may come any more.
    this->call.reset();
    if (this->ticket != 0)
        this->services.dispatch.withdraw(std::exchange(this->ticket, 0));
    const auto total = this->milliseconds_since_start();
    if (this->services.latencies.total)
        this->services.latencies.total(static_cast<double>(total) / 1000);
    this->services.events.write(
        kernel::severity::info, "request.ended", std::nullopt,
        {{"request_id", this->facts.id},
         {"sequence", this->sequence},
         {"route", this->route == nullptr ? std::string() : this->route->name},
         {"organisation", this->organisation},
         {"version", this->table == nullptr ? 0 : this->table->values().version},
         {"target", this->last_target},
         {"outcome", std::string(outcome)},
         {"reason", std::string(reason)},
         {"status", std::int64_t{this->status}},
         {"sends", std::uint64_t{this->sends}},
         {"waited_ms", this->waited_ms},
         {"first_part_ms", this->first_part_ms},
         {"total_ms", total}});
    this->release(result::neutral);
    if (this->erring != nullptr)
        this->services.dispatch.on_error_answer(*this->erring);
    this->ended();
}

} // namespace samphirespool::gateway
