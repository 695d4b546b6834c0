// State machine of one request, from acceptance to exactly one outcome. The router reports events
// and carries out the decision that is returned; all rules on retries and outcomes are here. An
// event that does not apply to the current phase (late, crossed, duplicate) yields the action
// `none`.
//
//   accepted -> queue -> [claim] -> reserve -> connect -> send -> respond
//
// Retries: an attempt that provably sent nothing is followed by one on another candidate. Once a
// byte may have been sent, only an idempotent request is retried, on another target, within the
// retry budget, and only while nothing has been forwarded to the caller. A broken stream is resumed
// on the same target, which has the rest of the response; another target would generate a different
// one, unless resumable_elsewhere is set.
#pragma once

#include "helpers/ids.hpp"
#include "helpers/time.hpp"
#include "kernel/error.hpp"
#include "request/request_phase.hpp"
#include "request/retry_budget.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace samphirespool::request {

// Properties of a request that determine how it may be retried.
struct request_traits {
    bool idempotent = true;
    // Non-idempotent with an idempotency key: claimed in the store before it is sent.
    bool needs_claim = false;
    // The target can resume a stream at an offset.
    bool resumable = false;
    // Another target can resume it as well, because it generates the same response. A sampled
    // response can only be resumed by the target that generated it.
    bool resumable_elsewhere = false;
    helpers::time_point deadline;
    // Attempts that sent the request.
    std::uint32_t max_sends = 3;
    // Targets tried, including those to which nothing was sent.
    std::uint32_t max_attempts = 8;
    // Times that the rest of a broken stream is requested.
    std::uint32_t max_resumes = 4;
};

// What the router does next.
enum class action : std::uint8_t {
    // Nothing to do: the event came too late or changed nothing.
    none,
    claim,
    // Reserve on a candidate for which may_use() holds.
    reserve,
    // Connect to the granted target; write nothing yet.
    connect,
    // Write the request.
    send,
    // Reconnect to the same target and request the response from resume_offset on.
    resume,
    // Forward the target's error response to the caller.
    forward_response,
    // The request is finished: see outcome and kind.
    finish,
};

struct decision {
    action next = action::none;
    // Whether the grant of the current attempt, or the one just received, must be released.
    bool release_grant = false;
    // Whether the target may still be processing the request and must be made to stop.
    bool cancel_target = false;
    // Position in the response from which to resume: the amount forwarded so far, in the unit of
    // on_forwarded().
    std::uint64_t resume_offset = 0;
    // Set with `finish`. The kind has no meaning if the outcome is `answered`.
    kernel::request_outcome outcome = kernel::request_outcome::unknown;
    kernel::error_kind kind = kernel::error_kind::internal;
};

class request_state {
public:
    request_state(const request_traits& traits, retry_budget& budget);

    // The request was dispatched from the queue.
    decision on_dequeued(helpers::time_point now);

    // The claim was acquired and allows sending before valid_until.
    decision on_claim_acquired(helpers::time_point valid_until, helpers::time_point now);

    // A target was reserved. The grant allows sending before send_before.
    decision on_granted(helpers::target_id target, helpers::time_point send_before);

    // The connection is established and the request is about to be written.
    decision on_connected(helpers::time_point now);

    // The connection failed; no byte of the request was written.
    decision on_connect_failed(helpers::time_point now);

    // The attempt failed after bytes may have been sent: connection lost or an error of the target.
    // has_response: the target sent a complete response that can be forwarded if there is no retry.
    decision on_attempt_failed(bool has_response, helpers::time_point now);

    // Part of the response was forwarded to the caller. `amount` has the unit of resume_offset; the
    // router counts stream events.
    decision on_forwarded(std::uint64_t amount);

    // The stream broke, or resuming it failed. The rest is requested from the same target; if that
    // fails and resumable_elsewhere is set, from other targets.
    decision on_stream_broken(helpers::time_point now);

    // The target has resumed the stream.
    decision on_resumed();

    // The complete response was forwarded to the caller.
    decision on_completed();

    // Ends the request without a further attempt: queue full, no target, claim rejected, limit
    // reached, shutting down, deadline passed. The outcome follows from the phase.
    decision abort(kernel::error_kind reason);

    // The caller disconnected: ends the request without a further attempt.
    decision on_caller_disconnected();

    // Returns whether the target was not tried yet.
    bool may_use(helpers::target_id target) const;
    std::span<const helpers::target_id> tried() const { return this->tried_targets; }
    phase current_phase() const { return this->current; }
    const request_traits& traits() const { return this->properties; }

    // Time until the deadline, to be sent to the target; zero when the deadline has passed.
    helpers::duration remaining(helpers::time_point now) const;

private:
    // Returns false and changes nothing if the step does not apply to the phase.
    bool advance(step by);
    bool holds_grant() const;
    bool before_deadline(helpers::time_point now) const { return now < this->properties.deadline; }
    bool is_connecting() const;
    decision reserve_other_target(step by);
    decision resume_on_other_target();
    decision finish(step by, kernel::error_kind kind);

    request_traits properties;
    retry_budget& budget;
    phase current = phase::queued;
    // Invariant: no duplicates; while a grant is held, the last one is the target in use.
    std::vector<helpers::target_id> tried_targets;
    std::uint32_t sends = 0;
    std::uint32_t resumes = 0;
    // Whether the rest of the response was already requested from the target in use.
    bool resume_requested_here = false;
    std::uint64_t forwarded = 0;
    helpers::time_point send_before;
    std::optional<helpers::time_point> claim_valid_until;
};

} // namespace samphirespool::request
