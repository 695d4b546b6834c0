// One request's way from acceptance to exactly one outcome. The router reports what happened and
// carries out the decision it gets back; it has no retry or outcome rules of its own. A report that
// does not fit the phase (late, crossed, repeated) yields the action `none`.
//
//   accepted -> wait_turn -> [claim] -> reserve -> connect -> send -> answer
//
// Retries: an attempt that provably sent nothing goes to another candidate. After a byte may have
// left, only an idempotent request is tried again, on another target, within the retry budget, and
// only while nothing has reached the caller. A broken stream is resumed on the same target, which
// holds the rest of the answer; another target would make a different one.
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

struct request_traits {
    bool idempotent = true;
    // Non-idempotent with a key: claimed in the store before it is sent.
    bool needs_claim = false;
    // The target can continue a stream at an offset.
    bool resumable = false;
    // Another target can as well, since it gives the same answer. An answer that was sampled is
    // known to its own target only.
    bool resumable_elsewhere = false;
    helpers::time_point deadline;
    // Attempts that sent something, and attempts in all.
    std::uint32_t max_sends = 3;
    std::uint32_t max_attempts = 8;
    // Times that the rest of a broken stream is asked for.
    std::uint32_t max_resumes = 4;
};

enum class action : std::uint8_t {
    // Nothing to do: the report came too late or changed nothing.
    none,
    claim,
    // Reserve on a candidate for which may_use() holds.
    reserve,
    // Connect to the granted target; write nothing yet.
    connect,
    // Write the request.
    send,
    // Reconnect to the same target and ask for the answer from resume_offset on.
    resume,
    // The target answered with an error that is passed to the caller as its answer.
    forward_response,
    // The outcome is settled: see outcome and kind.
    finish,
};

struct decision {
    action next = action::none;
    // How to end the grant that this report ended, if it ended one.
    bool release_grant = false;
    // Whether the target may still be working for this request and must be told to stop.
    bool cancel_target = false;
    std::uint64_t resume_offset = 0;
    // With `finish`. The kind is meaningless when the outcome is answered.
    kernel::request_outcome outcome = kernel::request_outcome::unknown;
    kernel::error_kind kind = kernel::error_kind::internal;
};

class request_state {
public:
    request_state(const request_traits& traits, retry_budget& budget);

    // The request's turn in the queue has come.
    decision on_dequeued(helpers::time_point now);

    // The claim is held and allows sending before valid_until.
    decision on_claim_acquired(helpers::time_point valid_until, helpers::time_point now);

    decision on_granted(helpers::target_id target, helpers::time_point send_before);

    // The connection stands and the request is about to be written.
    decision on_connected(helpers::time_point now);

    // The connection could not be made; no byte of the request was written.
    decision on_connect_failed(helpers::time_point now);

    // The attempt failed after bytes may have left: connection lost or an error of the target.
    // has_answer: the target gave a whole answer that can be passed on if there is no retry.
    decision on_attempt_failed(bool has_answer, helpers::time_point now);

    // Bytes of the answer were passed to the caller.
    decision on_forwarded(std::uint64_t bytes);

    // The stream broke, or its rest could not be had: the same target is asked for the rest, and
    // after one failure others if they can give it.
    decision on_stream_broken(helpers::time_point now);

    // The resumed stream continues.
    decision on_resumed();

    // The whole answer was passed to the caller.
    decision on_completed();

    // Gives up: queue full, no target, claim refused, limit reached, shutting down, deadline
    // passed. Yields the outcome that the phase allows.
    decision abort(kernel::error_kind reason);
    decision on_caller_disconnected();

    // Whether the request may go to the target: it was not tried there.
    bool may_use(helpers::target_id target) const;
    std::span<const helpers::target_id> tried() const { return this->targets_tried; }
    phase current_phase() const { return this->current; }
    const request_traits& traits() const { return this->properties; }

    // Time left for the target, to pass on as its deadline; zero when it has passed.
    helpers::duration remaining(helpers::time_point now) const;

private:
    // Returns false and changes nothing if the step does not fit the phase.
    bool advance(step by);
    bool holds_grant() const;
    bool in_time(helpers::time_point now) const { return now < this->properties.deadline; }
    bool is_connecting() const;
    decision try_elsewhere(step by);
    decision resume_elsewhere();
    decision finish(step by, kernel::error_kind kind);

    request_traits properties;
    retry_budget& budget;
    phase current = phase::queued;
    // Invariant: without duplicates; the last is the one in use while a grant is held.
    std::vector<helpers::target_id> targets_tried;
    std::uint32_t sends = 0;
    std::uint32_t resumes = 0;
    // Whether the target in use was asked for the rest already.
    bool resumed_here = false;
    std::uint64_t bytes_passed = 0;
    helpers::time_point send_before;
    std::optional<helpers::time_point> claim_valid_until;
};

} // namespace samphirespool::request
