// Tests of the fair queue.
#include "admission/fair_queue.hpp"

#include <doctest/doctest.h>

#include <map>

using namespace samphirespool;
using namespace std::chrono_literals;

namespace {

constexpr helpers::organisation_id quiet{1};
constexpr helpers::organisation_id busy{2};
constexpr helpers::organisation_id other{3};

struct queue_test {
    admission::fair_queue queue;
    helpers::time_point now{1h};
    std::uint64_t sequence = 0;

    explicit queue_test(admission::queue_limits limits = {}) : queue(limits) {}

    admission::push_result push(helpers::organisation_id organisation, std::uint32_t cost = 1000,
                                std::uint8_t priority = 1, helpers::duration timeout = 10s) {
        admission::queued_request request;
        request.request.sequence = ++this->sequence;
        request.organisation = organisation;
        request.cost_tokens = cost;
        request.priority = priority;
        request.deadline = this->now + timeout;
        return this->queue.push(request, this->now);
    }

    std::map<std::uint64_t, std::uint64_t> tokens_of(int pops) {
        std::map<std::uint64_t, std::uint64_t> tokens;
        for (int i = 0; i < pops; ++i)
            if (const auto popped = this->queue.pop())
                tokens[popped->organisation.value] += popped->cost_tokens;
        return tokens;
    }
};

} // namespace

TEST_CASE("fair queue: a surge of one organisation does not delay others") {
    queue_test test;
    for (int i = 0; i < 1000; ++i)
        test.push(busy, 4096);
    test.push(quiet, 4096);
    test.queue.pop();
    CHECK(test.queue.pop()->organisation == quiet);
}

TEST_CASE("fair queue: organisations share tokens by weight, independent of request size") {
    queue_test test;
    for (int i = 0; i < 900; ++i) {
        test.push(busy, 8000);
        test.push(quiet, 500);
        test.push(other, 3000);
    }
    test.queue.set_weights({{busy, 1}, {quiet, 2}, {other, 0}});
    auto tokens = test.tokens_of(400);
    const auto unit = static_cast<double>(tokens[busy.value]);
    CHECK(static_cast<double>(tokens[quiet.value]) / unit == doctest::Approx(2).epsilon(0.1));
    CHECK(static_cast<double>(tokens[other.value]) / unit == doctest::Approx(1).epsilon(0.1));
}

TEST_CASE("fair queue: more urgent priorities are dispatched first") {
    queue_test test;
    test.push(busy, 1000, 2);
    test.push(other, 1000, 1);
    test.push(quiet, 1000, 0);
    CHECK(test.queue.pop()->organisation == quiet);
    CHECK(test.queue.pop()->organisation == other);
    CHECK(test.queue.pop()->organisation == busy);
    CHECK_FALSE(test.queue.pop());
}

TEST_CASE("fair queue: an organisation over its limit is skipped and accumulates no credit") {
    queue_test test;
    for (int i = 0; i < 50; ++i) {
        test.push(busy, 4096);
        test.push(quiet, 4096);
    }
    const auto only_quiet = [](helpers::organisation_id organisation) {
        return organisation == quiet;
    };
    for (int i = 0; i < 20; ++i)
        CHECK(test.queue.pop(only_quiet)->organisation == quiet);
    CHECK_FALSE(test.queue.pop([](helpers::organisation_id) { return false; }));
    const auto tokens = test.tokens_of(20);
    CHECK(tokens.at(busy.value) == tokens.at(quiet.value));
}

TEST_CASE("fair queue: expired and cancelled requests are removed exactly once") {
    queue_test test;
    CHECK(test.push(busy, 1000, 1, 5s).accepted);
    CHECK(test.push(busy, 1000, 1, 1s).accepted);
    CHECK(test.push(quiet, 1000, 0, 3s).accepted);
    const auto late = test.push(quiet, 1000, 0, 0s);
    CHECK_FALSE(late.accepted);
    CHECK(late.rejection == kernel::error_kind::deadline_exceeded);
    CHECK(test.queue.next_deadline() == test.now + 1s);
    std::vector<admission::queued_request> expired;
    test.queue.expire(test.now + 3s, expired);
    REQUIRE(expired.size() == 2);
    CHECK(expired[0].request.sequence == 2);
    CHECK(expired[1].request.sequence == 3);
    helpers::request_id first;
    first.sequence = 1;
    CHECK(test.queue.cancel(first));
    CHECK_FALSE(test.queue.cancel(first));
    CHECK(test.queue.size() == 0);
    CHECK_FALSE(test.queue.next_deadline());
}

TEST_CASE(
    "fair queue: a full queue displaces a request of the organisation with the longest backlog") {
    queue_test test({10, 8});
    for (int i = 0; i < 8; ++i)
        CHECK(test.push(busy).accepted);
    CHECK_FALSE(test.push(busy).accepted);
    CHECK(test.push(other).accepted);
    CHECK(test.push(other).accepted);
    const auto pushed = test.push(quiet);
    CHECK(pushed.accepted);
    REQUIRE(pushed.displaced);
    CHECK(pushed.displaced->organisation == busy);
    CHECK(pushed.displaced->request.sequence == 8);
    CHECK(test.queue.size() == 10);
    CHECK_FALSE(test.push(busy).accepted);
}
