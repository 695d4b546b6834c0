// Rules of retries, resumption and outcomes.
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
    return std::ranges::find(this->tried_targets, target) == this->tried_targets.end();
}

helpers::duration request_state::remaining(helpers::time_point now) const {
    return std::max(helpers::duration::zero(), this->properties.deadline - now);
}

decision request_state::finish(step by, error_kind kind) {
    decision result;
    const bool grant = this->holds_grant();
    const bool may_be_running = this->current == phase::sent ||
                                this->current == phase::responding ||
                                this->current == phase::resuming;
    if (!this->advance(by))
        return result;
    result.next = action::finish;
    result.release_grant = grant;
    result.cancel_target = by == step::aborted && may_be_running;
    result.outcome = outcome_of(this->current);
    result.kind = kind;
    return result;
}

decision request_state::on_dequeued(helpers::time_point now) {
    if (this->current != phase::queued)
        return {};
    if (!this->before_deadline(now))
        return this->abort(error_kind::deadline_exceeded);
    const bool claims = this->properties.needs_claim;
    this->advance(claims ? step::dequeued_needs_claim : step::dequeued);
    return {.next = claims ? action::claim : action::reserve};
}

decision request_state::on_claim_acquired(helpers::time_point valid_until,
                                          helpers::time_point now) {
    if (this->current != phase::claiming)
        return {};
    if (!this->before_deadline(now))
        return this->abort(error_kind::deadline_exceeded);
    this->claim_valid_until = valid_until;
    this->advance(step::claim_acquired);
    return {.next = action::reserve};
}

decision request_state::on_granted(helpers::target_id target, helpers::time_point send_before) {
    if (!this->advance(step::granted)) {
        // The reservation is no longer needed: release the grant unused.
        return {.release_grant = true};
    }
    this->send_before = send_before;
    if (!this->may_use(target))
        return this->reserve_other_target(step::attempt_not_sent);
    this->tried_targets.push_back(target);
    return {.next = action::connect};
}

decision request_state::on_connected(helpers::time_point now) {
    if (!this->is_connecting())
        return {};
    if (!this->before_deadline(now))
        return this->abort(error_kind::deadline_exceeded);
    if (this->claim_valid_until && now >= *this->claim_valid_until)
        return this->abort(error_kind::claim_unavailable);
    if (now >= this->send_before) {
        // The grant expired before the connection was up; the target may be tried again.
        this->tried_targets.pop_back();
        return this->reserve_other_target(step::attempt_not_sent);
    }
    if (this->current == phase::resume_connecting) {
        ++this->resumes;
        this->resume_requested_here = true;
    } else {
        ++this->sends;
    }
    this->advance(step::bytes_written);
    return {.next = action::send, .resume_offset = this->forwarded};
}

decision request_state::on_connect_failed(helpers::time_point now) {
    if (!this->is_connecting())
        return {};
    if (!this->before_deadline(now))
        return this->abort(error_kind::deadline_exceeded);
    return this->reserve_other_target(step::attempt_not_sent);
}

decision request_state::reserve_other_target(step by) {
    if (this->tried_targets.size() >= this->properties.max_attempts)
        return this->abort(error_kind::target_unreachable);
    this->advance(by);
    return {.next = action::reserve, .release_grant = true};
}

decision request_state::on_attempt_failed(bool has_response, helpers::time_point now) {
    if (this->current != phase::sent)
        return {};
    const bool allowed = this->properties.idempotent && this->before_deadline(now) &&
                         this->sends < this->properties.max_sends &&
                         this->tried_targets.size() < this->properties.max_attempts;
    if (allowed && this->budget.try_spend())
        return this->reserve_other_target(step::retry_elsewhere);
    if (has_response)
        return {.next = action::forward_response};
    if (allowed)
        return this->abort(error_kind::retry_budget_spent);
    return this->abort(this->before_deadline(now) ? error_kind::target_failed
                                                  : error_kind::deadline_exceeded);
}

decision request_state::on_forwarded(std::uint64_t amount) {
    if (this->current == phase::sent)
        this->advance(step::response_started);
    if (this->current == phase::responding)
        this->forwarded += amount;
    return {};
}

decision request_state::on_stream_broken(helpers::time_point now) {
    if (this->current == phase::resume_connecting)
        return this->on_connect_failed(now);
    const bool resuming = this->current == phase::resuming;
    if (!resuming && this->current != phase::responding)
        return {};
    // Requesting the rest may execute the request again, which is only allowed if it is idempotent.
    const bool allowed = this->properties.resumable && this->properties.idempotent &&
                         this->before_deadline(now) && this->resumes < this->properties.max_resumes;
    if (!allowed)
        return this->abort(error_kind::answer_truncated);
    if (!resuming)
        this->advance(step::stream_broken);
    if (this->properties.resumable_elsewhere && (resuming || this->resume_requested_here))
        return this->resume_on_other_target();
    ++this->resumes;
    this->resume_requested_here = true;
    return {.next = action::resume, .resume_offset = this->forwarded};
}

decision request_state::resume_on_other_target() {
    this->resume_requested_here = false;
    return this->reserve_other_target(step::resume_elsewhere);
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
    // No response is sent; the kind is only logged.
    return this->abort(error_kind::request_timeout);
}

} // namespace samphirespool::request
