// Tests of the thresholds of the memory budget.
#include "admission/memory_budget.hpp"

#include <doctest/doctest.h>

using samphirespool::admission::memory_budget;

namespace {

constexpr std::size_t megabyte = std::size_t{1} << 20;

// Bytes that the given number of callers hold which read nothing, while their targets send on: each
// response grows to the buffer limit of its moment.
std::size_t fill_by_stalled_readers(memory_budget& budget, std::size_t readers) {
    std::size_t used = 0;
    for (std::size_t i = 0; i < readers; ++i) {
        used += budget.buffer_limit();
        budget.set_used(used);
    }
    return used;
}

} // namespace

TEST_CASE("memory budget: without a limit nothing is rejected and buffers keep their size") {
    memory_budget budget(0);
    budget.set_used(std::size_t{1} << 40);
    CHECK(budget.admits(megabyte));
    CHECK_FALSE(budget.is_exceeded());
    CHECK(budget.buffer_limit() == memory_budget::max_buffer);
}

TEST_CASE("memory budget: with little in use, buffers have their full size") {
    memory_budget budget(80 * megabyte);
    budget.set_used(10 * megabyte);
    CHECK(budget.buffer_limit() == memory_budget::max_buffer);
    CHECK(budget.admits(4 * megabyte));
}

// Guards against an out-of-memory kill: 2,000 buffers of full size would hold 500 MB.
TEST_CASE("memory budget: 2,000 callers that read nothing stay below half of 160 MB") {
    memory_budget budget(80 * megabyte);
    CHECK(fill_by_stalled_readers(budget, 2000) < 80 * megabyte);
    CHECK_FALSE(budget.is_exceeded());
}

// Guards against a few hundred slow readers that make the gateway reject all others.
TEST_CASE("memory budget: 500 callers that read nothing leave room for new requests") {
    memory_budget budget(80 * megabyte);
    fill_by_stalled_readers(budget, 500);
    CHECK(budget.admits(megabyte));
    // Hundreds of events of a stream.
    constexpr std::size_t kilobyte = 1 << 10;
    CHECK(budget.buffer_limit() >= 16 * kilobyte);
}

TEST_CASE("memory budget: new requests leave a reserve to those in progress") {
    memory_budget budget(100 * megabyte);
    budget.set_used(89 * megabyte);
    CHECK(budget.admits(megabyte));
    budget.set_used(90 * megabyte);
    CHECK_FALSE(budget.admits(1));
    CHECK_FALSE(budget.is_exceeded());
    budget.set_used(101 * megabyte);
    CHECK(budget.is_exceeded());
}
