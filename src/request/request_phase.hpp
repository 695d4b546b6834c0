// The phases of a request and every transition between them, as one table. The compiler checks
// over the whole table that `not_run` is reached only from phases in which no byte can have left,
// that no request returns to such a phase once a byte may have left, and that an outcome is final.
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
    // Bytes may have reached a target; none has reached the caller.
    sent,
    retry_reserving,
    retry_connecting,
    // Part of the answer has reached the caller.
    responding,
    // The rest of the answer was asked for, on the same target or on another one.
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
    // The grant cannot be used, or its connection failed before a byte was written.
    attempt_not_sent,
    bytes_written,
    retry_elsewhere,
    response_started,
    stream_broken,
    stream_resumed,
    resume_elsewhere,
    completed,
    // No further attempt: deadline, caller left, refused, or out of attempts.
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

constexpr bool not_run_is_true() {
    for (const auto& one : transitions)
        if (one.to == phase::not_run && !nothing_sent(one.from))
            return false;
    return true;
}

constexpr bool sending_is_never_forgotten() {
    for (const auto& one : transitions)
        if (!nothing_sent(one.from) && nothing_sent(one.to))
            return false;
    return true;
}

constexpr bool only_bytes_handed_sends() {
    for (const auto& one : transitions) {
        const bool sends = nothing_sent(one.from) && !nothing_sent(one.to);
        if (sends && one.to != phase::not_run && one.by != step::bytes_written)
            return false;
    }
    return true;
}

// Once the caller has a part of the answer, no step leads back to where the answer would start
// anew.
constexpr bool an_answer_never_starts_twice() {
    constexpr auto has_part = [](phase at) {
        return at == phase::responding || at == phase::resuming || at == phase::resume_reserving ||
               at == phase::resume_connecting;
    };
    for (const auto& one : transitions)
        if (has_part(one.from) && !has_part(one.to) && !is_outcome(one.to))
            return false;
    return true;
}

constexpr bool outcomes_are_final() {
    for (const auto& one : transitions)
        if (is_outcome(one.from))
            return false;
    return true;
}

// Every phase but an outcome can be given up, so that no request is stuck without an outcome.
constexpr bool every_phase_can_end() {
    for (std::size_t i = 0; i < phase_count; ++i) {
        const auto at = static_cast<phase>(i);
        bool ends = is_outcome(at);
        for (const auto& one : transitions)
            ends = ends || (one.from == at && one.by == step::aborted && is_outcome(one.to));
        if (!ends)
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

static_assert(not_run_is_true());
static_assert(sending_is_never_forgotten());
static_assert(only_bytes_handed_sends());
static_assert(an_answer_never_starts_twice());
static_assert(outcomes_are_final());
static_assert(every_phase_can_end());
static_assert(is_deterministic());

// phase::count where the step has no transition.
constexpr phase next_phase(phase from, step by) {
    for (const auto& one : transitions)
        if (one.from == from && one.by == by)
            return one.to;
    return phase::count;
}

} // namespace samphirespool::request
