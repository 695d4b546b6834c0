// Tests of the request's state machine and the retry budget. Static assertions check the table
// itself.
#include "request/request_state.hpp"

#include <doctest/doctest.h>

using namespace samphirespool;
using namespace std::chrono_literals;
using kernel::error_kind;
using kernel::request_outcome;
using request::action;

namespace {

constexpr helpers::target_id first{1};
constexpr helpers::target_id second{2};

struct state_test {
    request::retry_budget budget;
    helpers::time_point now{1h};
    request::request_traits traits;

    state_test() { this->traits.deadline = this->now + 10s; }

    request::request_state make() { return {this->traits, this->budget}; }

    request::request_state make_sent(helpers::target_id target) {
        auto state = this->make();
        state.on_dequeued(this->now);
        this->connect_and_send(state, target);
        return state;
    }

    void connect_and_send(request::request_state& state, helpers::target_id target) {
        CHECK(state.on_granted(target, this->now + 1s).next == action::connect);
        CHECK(state.on_connected(this->now).next == action::send);
    }
};

void check_end(const request::decision& made, request_outcome outcome, error_kind kind) {
    CHECK(made.next == action::finish);
    CHECK(made.outcome == outcome);
    CHECK(made.kind == kind);
}

} // namespace

TEST_CASE("an answered request passes through all phases without retries") {
    state_test test;
    auto state = test.make();
    CHECK(state.on_dequeued(test.now).next == action::reserve);
    test.connect_and_send(state, first);
    state.on_forwarded(100);
    const auto end = state.on_completed();
    CHECK(end.next == action::finish);
    CHECK(end.outcome == request_outcome::answered);
    CHECK(end.release_grant);
    CHECK_FALSE(end.cancel_target);
    CHECK(state.on_completed().next == action::none);
    CHECK(state.abort(error_kind::target_failed).next == action::none);
}

TEST_CASE("an attempt that sent nothing is followed by one on another target, and the outcome is "
          "not run") {
    state_test test;
    test.traits.idempotent = false;
    auto state = test.make();
    state.on_dequeued(test.now);
    state.on_granted(first, test.now + 1s);
    const auto failed = state.on_connect_failed(test.now);
    CHECK(failed.next == action::reserve);
    CHECK(failed.release_grant);
    CHECK_FALSE(state.may_use(first));
    CHECK(state.on_granted(first, test.now + 1s).next == action::reserve);
    CHECK(state.on_granted(second, test.now + 1s).next == action::connect);
    const auto end = state.abort(error_kind::shutting_down);
    check_end(end, request_outcome::not_run, error_kind::shutting_down);
    CHECK(end.release_grant);
    CHECK_FALSE(end.cancel_target);
    const auto late = state.on_granted(first, test.now + 1s);
    CHECK(late.next == action::none);
    CHECK(late.release_grant);
}

TEST_CASE("an expired grant is not used; the target may be reserved again") {
    state_test test;
    auto state = test.make();
    state.on_dequeued(test.now);
    state.on_granted(first, test.now + 1s);
    CHECK(state.on_connected(test.now + 1s).next == action::reserve);
    CHECK(state.may_use(first));
}

TEST_CASE("a non-idempotent request is never retried after bytes may have been sent") {
    state_test test;
    test.traits.idempotent = false;
    auto state = test.make_sent(first);
    const auto end = state.on_attempt_failed(false, test.now);
    check_end(end, request_outcome::unknown, error_kind::target_failed);
    CHECK(end.cancel_target);
    auto answered = test.make_sent(first);
    CHECK(answered.on_attempt_failed(true, test.now).next == action::forward_response);
    CHECK(answered.on_completed().outcome == request_outcome::answered);
}

TEST_CASE(
    "an idempotent request is retried on other targets within attempts, deadline and budget") {
    state_test test;
    auto state = test.make_sent(first);
    CHECK(state.on_attempt_failed(false, test.now).next == action::reserve);
    test.connect_and_send(state, second);
    CHECK(state.on_attempt_failed(false, test.now).next == action::reserve);
    test.connect_and_send(state, {3});
    check_end(state.on_attempt_failed(false, test.now), request_outcome::unknown,
              error_kind::target_failed);
    auto late = test.make_sent(first);
    check_end(late.on_attempt_failed(false, test.now + 10s), request_outcome::unknown,
              error_kind::deadline_exceeded);
    auto waiting = test.make_sent(first);
    waiting.on_attempt_failed(false, test.now);
    check_end(waiting.abort(error_kind::deadline_exceeded), request_outcome::unknown,
              error_kind::deadline_exceeded);
    while (test.budget.try_spend()) {
    }
    auto without_budget = test.make_sent(first);
    check_end(without_budget.on_attempt_failed(false, test.now), request_outcome::unknown,
              error_kind::retry_budget_spent);
}

TEST_CASE("a stream that reached the caller is resumed on its target, then on another one") {
    state_test test;
    auto plain = test.make_sent(first);
    plain.on_forwarded(10);
    CHECK(plain.on_attempt_failed(false, test.now).next == action::none);
    check_end(plain.on_stream_broken(test.now), request_outcome::unknown,
              error_kind::answer_truncated);
    test.traits.resumable = true;
    test.traits.resumable_elsewhere = true;
    auto state = test.make_sent(first);
    state.on_forwarded(10);
    state.on_forwarded(20);
    const auto resume = state.on_stream_broken(test.now);
    CHECK(resume.next == action::resume);
    CHECK(resume.resume_offset == 30);
    CHECK_FALSE(resume.release_grant);
    state.on_forwarded(99);
    state.on_resumed();
    state.on_forwarded(5);
    const auto elsewhere = state.on_stream_broken(test.now);
    CHECK(elsewhere.next == action::reserve);
    CHECK(elsewhere.release_grant);
    CHECK_FALSE(state.may_use(first));
    CHECK(state.on_granted(second, test.now + 1s).next == action::connect);
    const auto rest = state.on_connected(test.now);
    CHECK(rest.next == action::send);
    CHECK(rest.resume_offset == 35);
    state.on_resumed();
    state.on_forwarded(1);
    const auto end = state.on_completed();
    CHECK(end.outcome == request_outcome::answered);
    CHECK(end.release_grant);
}

TEST_CASE("a stream that no target can resume ends as unknown and is never restarted") {
    state_test test;
    test.traits.resumable = true;
    test.traits.resumable_elsewhere = true;
    test.traits.max_attempts = 3;
    auto state = test.make_sent(first);
    state.on_forwarded(10);
    CHECK(state.on_stream_broken(test.now).next == action::resume);
    CHECK(state.on_stream_broken(test.now).next == action::reserve);
    state.on_granted(second, test.now + 1s);
    CHECK(state.on_connect_failed(test.now).next == action::reserve);
    state.on_granted({3}, test.now + 1s);
    state.on_connected(test.now);
    check_end(state.on_stream_broken(test.now), request_outcome::unknown,
              error_kind::target_unreachable);
    auto late = test.make_sent(first);
    late.on_forwarded(10);
    late.on_stream_broken(test.now);
    late.on_stream_broken(test.now);
    const auto end = late.abort(error_kind::deadline_exceeded);
    check_end(end, request_outcome::unknown, error_kind::deadline_exceeded);
    CHECK_FALSE(end.release_grant);
}

TEST_CASE("a sampled stream is resumed on its own target only, a bounded number of times") {
    state_test test;
    test.traits.resumable = true;
    auto state = test.make_sent(first);
    std::uint64_t forwarded = 10;
    state.on_forwarded(forwarded);
    for (std::uint32_t i = 0; i < test.traits.max_resumes; ++i) {
        const auto made = state.on_stream_broken(test.now);
        CHECK(made.next == action::resume);
        CHECK(made.resume_offset == forwarded);
        // Every other time the target resumes the stream.
        if (i % 2 == 1)
            continue;
        state.on_resumed();
        state.on_forwarded(7);
        forwarded += 7;
    }
    check_end(state.on_stream_broken(test.now), request_outcome::unknown,
              error_kind::answer_truncated);
}

TEST_CASE("the rest of a stream is requested a bounded number of times") {
    state_test test;
    test.traits.resumable = true;
    test.traits.resumable_elsewhere = true;
    auto state = test.make_sent(first);
    state.on_forwarded(10);
    CHECK(state.on_stream_broken(test.now).next == action::resume);
    state.on_resumed();
    for (std::uint64_t target = 2; target <= test.traits.max_resumes; ++target) {
        CHECK(state.on_stream_broken(test.now).next == action::reserve);
        test.connect_and_send(state, {target});
        state.on_resumed();
    }
    check_end(state.on_stream_broken(test.now), request_outcome::unknown,
              error_kind::answer_truncated);
}

TEST_CASE("a claimed request is sent only while its claim is valid and before its deadline") {
    state_test test;
    test.traits.idempotent = false;
    test.traits.needs_claim = true;
    auto state = test.make();
    CHECK(state.on_dequeued(test.now).next == action::claim);
    CHECK(state.on_granted(first, test.now + 1s).next == action::none);
    CHECK(state.on_claim_acquired(test.now + 2s, test.now).next == action::reserve);
    state.on_granted(first, test.now + 5s);
    check_end(state.on_connected(test.now + 2s), request_outcome::not_run,
              error_kind::claim_unavailable);
    auto late = test.make();
    late.on_dequeued(test.now);
    check_end(late.on_claim_acquired(test.now + 20s, test.now + 10s), request_outcome::not_run,
              error_kind::deadline_exceeded);
    auto rejected = test.make();
    rejected.on_dequeued(test.now);
    check_end(rejected.abort(error_kind::claim_in_progress), request_outcome::not_run,
              error_kind::claim_in_progress);
}

TEST_CASE("a disconnected caller cancels the target's work") {
    state_test test;
    auto queued = test.make();
    CHECK(queued.on_caller_disconnected().outcome == request_outcome::not_run);
    auto running = test.make_sent(first);
    const auto end = running.on_caller_disconnected();
    CHECK(end.outcome == request_outcome::unknown);
    CHECK(end.cancel_target);
    CHECK(end.release_grant);
    CHECK(running.remaining(test.now) == 10s);
    CHECK(running.remaining(test.now + 11s) == 0s);
}

TEST_CASE("retries over all routers stay within the share of requests and the reserves") {
    constexpr int routers = 8;
    constexpr int requests = 1000;
    std::vector<request::retry_budget> budgets(routers, request::retry_budget(0.1));
    int retries = 0;
    for (int i = 0; i < requests; ++i) {
        // Skewed load: most requests enter through one router.
        auto& budget = budgets[static_cast<std::size_t>(i % 10 < 7 ? 0 : i % routers)];
        budget.record_request();
        while (budget.try_spend())
            ++retries;
    }
    CHECK(retries <= requests / 10 + routers * static_cast<int>(request::retry_budget::reserve));
    CHECK(retries >= requests / 10);
}
