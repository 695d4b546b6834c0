// The phases of a request and all transitions between them, as one table. Static assertions over
// the table check that `not_run` is reached only from phases in which no byte can have been sent,
// that no request returns to such a phase once a byte may have been sent, and that outcomes are
// final.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace samphirespool::request {

enum class phase : std::uint8_t {
    // Nothing was sent.
    queued,
    claiming,
    reserving,
    connecting,
    // Bytes may have reached a target; none of a response has reached the caller.
    sent,
    retry_reserving,
    retry_connecting,
    // Part of the response has been forwarded to the caller.
    responding,
    // The rest of the response has been requested, from the same target or from another one.
    resuming,
    resume_reserving,
    resume_connecting,
    // Outcomes.
    answered,
    not_run,
    unknown,
    count,
};

enum class step : std::uint8_t {
    dequeued,
    dequeued_needs_claim,
    claim_acquired,
    granted,
    // The grant cannot be used, or the connection failed before a byte was written.
    attempt_not_sent,
    bytes_written,
    retry_elsewhere,
    response_started,
    stream_broken,
    stream_resumed,
    resume_elsewhere,
    completed,
    // No further attempt: deadline passed, caller disconnected, request rejected, or no attempts
    // left.
    aborted,
    count,
};

inline constexpr auto phase_count = static_cast<std::size_t>(phase::count);
inline constexpr auto step_count = static_cast<std::size_t>(step::count);

constexpr bool is_outcome(phase at) {
    return at == phase::answered || at == phase::not_run || at == phase::unknown;
}

constexpr bool nothing_sent(phase at) {
    return at == phase::queued || at == phase::claiming || at == phase::reserving ||
           at == phase::connecting;
}

struct transition {
    phase from;
    step by;
    phase to;
};

inline constexpr std::array transitions{
    transition{phase::queued, step::dequeued, phase::reserving},
    transition{phase::queued, step::dequeued_needs_claim, phase::claiming},
    transition{phase::queued, step::aborted, phase::not_run},
    transition{phase::claiming, step::claim_acquired, phase::reserving},
    transition{phase::claiming, step::aborted, phase::not_run},
    transition{phase::reserving, step::granted, phase::connecting},
    transition{phase::reserving, step::aborted, phase::not_run},
    transition{phase::connecting, step::attempt_not_sent, phase::reserving},
    transition{phase::connecting, step::bytes_written, phase::sent},
    transition{phase::connecting, step::aborted, phase::not_run},
    transition{phase::sent, step::retry_elsewhere, phase::retry_reserving},
    transition{phase::sent, step::response_started, phase::responding},
    transition{phase::sent, step::completed, phase::answered},
    transition{phase::sent, step::aborted, phase::unknown},
    transition{phase::retry_reserving, step::granted, phase::retry_connecting},
    transition{phase::retry_reserving, step::aborted, phase::unknown},
    transition{phase::retry_connecting, step::attempt_not_sent, phase::retry_reserving},
    transition{phase::retry_connecting, step::bytes_written, phase::sent},
    transition{phase::retry_connecting, step::aborted, phase::unknown},
    transition{phase::responding, step::stream_broken, phase::resuming},
    transition{phase::responding, step::completed, phase::answered},
    transition{phase::responding, step::aborted, phase::unknown},
    transition{phase::resuming, step::stream_resumed, phase::responding},
    transition{phase::resuming, step::resume_elsewhere, phase::resume_reserving},
    transition{phase::resuming, step::aborted, phase::unknown},
    transition{phase::resume_reserving, step::granted, phase::resume_connecting},
    transition{phase::resume_reserving, step::aborted, phase::unknown},
    transition{phase::resume_connecting, step::attempt_not_sent, phase::resume_reserving},
    transition{phase::resume_connecting, step::bytes_written, phase::resuming},
    transition{phase::resume_connecting, step::aborted, phase::unknown},
};

// `not_run` is reached only from phases in which nothing was sent.
constexpr bool not_run_implies_nothing_sent() {
    for (const auto& entry : transitions)
        if (entry.to == phase::not_run && !nothing_sent(entry.from))
            return false;
    return true;
}

// No transition leads from a phase in which bytes may have been sent back to one in which nothing
// was sent.
constexpr bool sent_is_permanent() {
    for (const auto& entry : transitions)
        if (!nothing_sent(entry.from) && nothing_sent(entry.to))
            return false;
    return true;
}

// Except for outcomes, only bytes_written leaves the phases in which nothing was sent.
constexpr bool only_bytes_written_sends() {
    for (const auto& entry : transitions) {
        const bool sends = nothing_sent(entry.from) && !nothing_sent(entry.to);
        if (sends && entry.to != phase::not_run && entry.by != step::bytes_written)
            return false;
    }
    return true;
}

// Once a part of the response has been forwarded to the caller, no step leads back to a phase from
// which a response would start from the beginning.
constexpr bool response_never_restarts() {
    constexpr auto response_has_started = [](phase at) {
        return at == phase::responding || at == phase::resuming || at == phase::resume_reserving ||
               at == phase::resume_connecting;
    };
    for (const auto& entry : transitions)
        if (response_has_started(entry.from) && !response_has_started(entry.to) &&
            !is_outcome(entry.to))
            return false;
    return true;
}

constexpr bool outcomes_are_final() {
    for (const auto& entry : transitions)
        if (is_outcome(entry.from))
            return false;
    return true;
}

// Every phase that is not an outcome can be aborted, so that no request is left without an outcome.
constexpr bool every_phase_can_be_aborted() {
    for (std::size_t i = 0; i < phase_count; ++i) {
        const auto at = static_cast<phase>(i);
        bool can_be_aborted = is_outcome(at);
        for (const auto& entry : transitions)
            can_be_aborted = can_be_aborted || (entry.from == at && entry.by == step::aborted &&
                                                is_outcome(entry.to));
        if (!can_be_aborted)
            return false;
    }
    return true;
}

constexpr bool is_deterministic() {
    for (std::size_t i = 0; i < transitions.size(); ++i)
        for (std::size_t j = i + 1; j < transitions.size(); ++j)
            if (transitions[i].from == transitions[j].from &&
                transitions[i].by == transitions[j].by)
                return false;
    return true;
}

static_assert(not_run_implies_nothing_sent());
static_assert(sent_is_permanent());
static_assert(only_bytes_written_sends());
static_assert(response_never_restarts());
static_assert(outcomes_are_final());
static_assert(every_phase_can_be_aborted());
static_assert(is_deterministic());

// Returns the phase after a step, or phase::count if the step does not apply to the phase.
constexpr phase next_phase(phase from, step by) {
    for (const auto& entry : transitions)
        if (entry.from == from && entry.by == by)
            return entry.to;
    return phase::count;
}

} // namespace samphirespool::request
