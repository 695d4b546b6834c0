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
    waiting_turn,
    claiming,
    reserving,
    connecting,
    // Bytes may have reached a target; none has reached the caller.
    sent,
    reserving_again,
    connecting_again,
    // Part of the answer has reached the caller.
    answering,
    // The rest of the answer was asked for, on the same target or on another one.
    resuming,
    reserving_rest,
    connecting_rest,
    // Outcomes.
    answered,
    not_run,
    unknown,
    count,
};

enum class step : std::uint8_t {
    turn_given,
    turn_given_with_claim,
    claim_held,
    granted,
    // The grant cannot be used, or its connection failed before a byte was written.
    attempt_unsent,
    bytes_handed,
    retry_elsewhere,
    answer_begun,
    stream_broken,
    stream_resumed,
    resume_elsewhere,
    completed,
    // No further attempt: deadline, caller left, refused, or out of attempts.
    given_up,
    count,
};

inline constexpr auto phase_count = static_cast<std::size_t>(phase::count);
inline constexpr auto step_count = static_cast<std::size_t>(step::count);

constexpr bool is_outcome(phase at) {
    return at == phase::answered || at == phase::not_run || at == phase::unknown;
}

constexpr bool nothing_sent(phase at) {
    return at == phase::waiting_turn || at == phase::claiming || at == phase::reserving ||
           at == phase::connecting;
}

struct transition {
    phase from;
    step by;
    phase to;
};

inline constexpr std::array transitions{
    transition{phase::waiting_turn, step::turn_given, phase::reserving},
    transition{phase::waiting_turn, step::turn_given_with_claim, phase::claiming},
    transition{phase::waiting_turn, step::given_up, phase::not_run},
    transition{phase::claiming, step::claim_held, phase::reserving},
    transition{phase::claiming, step::given_up, phase::not_run},
    transition{phase::reserving, step::granted, phase::connecting},
    transition{phase::reserving, step::given_up, phase::not_run},
    transition{phase::connecting, step::attempt_unsent, phase::reserving},
    transition{phase::connecting, step::bytes_handed, phase::sent},
    transition{phase::connecting, step::given_up, phase::not_run},
    transition{phase::sent, step::retry_elsewhere, phase::reserving_again},
    transition{phase::sent, step::answer_begun, phase::answering},
    transition{phase::sent, step::completed, phase::answered},
    transition{phase::sent, step::given_up, phase::unknown},
    transition{phase::reserving_again, step::granted, phase::connecting_again},
    transition{phase::reserving_again, step::given_up, phase::unknown},
    transition{phase::connecting_again, step::attempt_unsent, phase::reserving_again},
    transition{phase::connecting_again, step::bytes_handed, phase::sent},
    transition{phase::connecting_again, step::given_up, phase::unknown},
    transition{phase::answering, step::stream_broken, phase::resuming},
    transition{phase::answering, step::completed, phase::answered},
    transition{phase::answering, step::given_up, phase::unknown},
    transition{phase::resuming, step::stream_resumed, phase::answering},
    transition{phase::resuming, step::resume_elsewhere, phase::reserving_rest},
    transition{phase::resuming, step::given_up, phase::unknown},
    transition{phase::reserving_rest, step::granted, phase::connecting_rest},
    transition{phase::reserving_rest, step::given_up, phase::unknown},
    transition{phase::connecting_rest, step::attempt_unsent, phase::reserving_rest},
    transition{phase::connecting_rest, step::bytes_handed, phase::resuming},
    transition{phase::connecting_rest, step::given_up, phase::unknown},
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
        if (sends && one.to != phase::not_run && one.by != step::bytes_handed)
            return false;
    }
    return true;
}

// Once the caller has a part of the answer, no step leads back to where the answer would start
// anew.
constexpr bool an_answer_never_starts_twice() {
    constexpr auto has_part = [](phase at) {
        return at == phase::answering || at == phase::resuming || at == phase::reserving_rest ||
               at == phase::connecting_rest;
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
            ends = ends || (one.from == at && one.by == step::given_up && is_outcome(one.to));
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
