// The rules of retry, resumption and outcome.
#include "request/request_state.hpp"

#include <algorithm>

namespace samphirespool::request {

using kernel::error_kind;
using kernel::request_outcome;

namespace {

request_outcome outcome_of(phase at) {
    if (at == phase::answered)
        return request_outcome::answered;
    return at == phase::not_run ? request_outcome::not_run : request_outcome::unknown;
}

} // namespace

request_state::request_state(const request_traits& traits, retry_budget& budget)
    : properties(traits), budget(budget) {
    this->budget.record_request();
}

bool request_state::advance(step by) {
    const auto next = next_phase(this->current, by);
    if (next == phase::count)
        return false;
    this->current = next;
    return true;
}

bool request_state::holds_grant() const {
    return this->is_connecting() || this->current == phase::sent ||
           this->current == phase::responding || this->current == phase::resuming;
}

bool request_state::is_connecting() const {
    return this->current == phase::connecting || this->current == phase::retry_connecting ||
           this->current == phase::resume_connecting;
}

bool request_state::may_use(helpers::target_id target) const {
    return std::ranges::find(this->targets_tried, target) == this->targets_tried.end();
}

helpers::duration request_state::remaining(helpers::time_point now) const {
    return std::max(helpers::duration::zero(), this->properties.deadline - now);
}

decision request_state::finish(step by, error_kind kind) {
    decision made;
    const bool grant = this->holds_grant();
    const bool may_be_running = this->current == phase::sent ||
                                this->current == phase::responding ||
                                this->current == phase::resuming;
    if (!this->advance(by))
        return made;
    made.next = action::finish;
    made.release_grant = grant;
    made.cancel_target = by == step::aborted && may_be_running;
    made.outcome = outcome_of(this->current);
    made.kind = kind;
    return made;
}

decision request_state::on_dequeued(helpers::time_point now) {
    if (this->current != phase::queued)
        return {};
    if (!this->in_time(now))
        return this->abort(error_kind::deadline_exceeded);
    const bool claims = this->properties.needs_claim;
    this->advance(claims ? step::dequeued_needs_claim : step::dequeued);
    return {.next = claims ? action::claim : action::reserve};
}

decision request_state::on_claim_acquired(helpers::time_point valid_until,
                                          helpers::time_point now) {
    if (this->current != phase::claiming)
        return {};
    if (!this->in_time(now))
        return this->abort(error_kind::deadline_exceeded);
    this->claim_valid_until = valid_until;
    this->advance(step::claim_acquired);
    return {.next = action::reserve};
}

decision request_state::on_granted(helpers::target_id target, helpers::time_point usable_until) {
    if (!this->advance(step::granted)) {
        // A grant that nobody waits for any more goes back unused.
        return {.release_grant = true};
    }
    this->send_before = usable_until;
    if (!this->may_use(target))
        return this->try_elsewhere(step::attempt_not_sent);
    this->targets_tried.push_back(target);
    return {.next = action::connect};
}

decision request_state::on_connected(helpers::time_point now) {
    if (!this->is_connecting())
        return {};
    if (!this->in_time(now))
        return this->abort(error_kind::deadline_exceeded);
    if (this->claim_valid_until && now >= *this->claim_valid_until)
        return this->abort(error_kind::claim_unavailable);
    if (now >= this->send_before) {
        // The grant lapsed on the way; the target itself is not at fault.
        this->targets_tried.pop_back();
        return this->try_elsewhere(step::attempt_not_sent);
    }
    if (this->current == phase::resume_connecting) {
        ++this->resumes;
        this->resumed_here = true;
    } else {
        ++this->sends;
    }
    this->advance(step::bytes_written);
    return {.next = action::send, .resume_offset = this->bytes_passed};
}

decision request_state::on_connect_failed(helpers::time_point now) {
    if (!this->is_connecting())
        return {};
    if (!this->in_time(now))
        return this->abort(error_kind::deadline_exceeded);
    return this->try_elsewhere(step::attempt_not_sent);
}

decision request_state::try_elsewhere(step by) {
    if (this->targets_tried.size() >= this->properties.max_attempts)
        return this->abort(error_kind::target_unreachable);
    this->advance(by);
    return {.next = action::reserve, .release_grant = true};
}

decision request_state::on_attempt_failed(bool has_answer, helpers::time_point now) {
    if (this->current != phase::sent)
        return {};
    const bool allowed = this->properties.idempotent && this->in_time(now) &&
                         this->sends < this->properties.max_sends &&
                         this->targets_tried.size() < this->properties.max_attempts;
    if (allowed && this->budget.try_spend())
        return this->try_elsewhere(step::retry_elsewhere);
    if (has_answer)
        return {.next = action::forward_response};
    if (allowed)
        return this->abort(error_kind::retry_budget_spent);
    return this->abort(this->in_time(now) ? error_kind::target_failed
                                          : error_kind::deadline_exceeded);
}

decision request_state::on_forwarded(std::uint64_t bytes) {
    if (this->current == phase::sent)
        this->advance(step::response_started);
    if (this->current == phase::responding)
        this->bytes_passed += bytes;
    return {};
}

decision request_state::on_stream_broken(helpers::time_point now) {
    if (this->current == phase::resume_connecting)
        return this->on_connect_failed(now);
    const bool resuming = this->current == phase::resuming;
    if (!resuming && this->current != phase::responding)
        return {};
    // Asking for the rest may run the request again, which only an idempotent one bears.
    const bool allowed = this->properties.resumable && this->properties.idempotent &&
                         this->in_time(now) && this->resumes < this->properties.max_resumes;
    if (!allowed)
        return this->abort(error_kind::answer_truncated);
    if (!resuming)
        this->advance(step::stream_broken);
    if (this->properties.resumable_elsewhere && (resuming || this->resumed_here))
        return this->resume_elsewhere();
    ++this->resumes;
    this->resumed_here = true;
    return {.next = action::resume, .resume_offset = this->bytes_passed};
}

decision request_state::resume_elsewhere() {
    this->resumed_here = false;
    return this->try_elsewhere(step::resume_elsewhere);
}

decision request_state::on_resumed() {
    this->advance(step::stream_resumed);
    return {};
}

decision request_state::on_completed() {
    return this->finish(step::completed, error_kind::internal);
}

decision request_state::abort(error_kind reason) {
    return this->finish(step::aborted, reason);
}

decision request_state::on_caller_disconnected() {
    // Nobody reads the answer; the kind is for the log.
    return this->abort(error_kind::request_timeout);
}

} // namespace samphirespool::request
