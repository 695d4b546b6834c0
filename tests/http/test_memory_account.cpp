// Tests of the account of held bytes: room for small requests, and which parties are evicted.
#include "http/memory_account.hpp"

#include "kernel/loop.hpp"

#include <doctest/doctest.h>

#include <list>

using namespace samphirespool;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kilobyte = 1 << 10;
constexpr std::size_t megabyte = std::size_t{1} << 20;

struct fake_party final : http::memory_holder {
    std::optional<helpers::time_point> stalled_since() const override { return this->since; }
    std::size_t evictable() const override { return this->is_in_service ? 0 : this->held(); }
    void evict() override { this->is_evicted = true; }

    std::optional<helpers::time_point> since;
    bool is_in_service = false;
    bool is_evicted = false;
};

struct account_fixture {
    // A party that has not moved anything for the given time; 0: one that waits for this process.
    fake_party& add(std::size_t bytes, helpers::duration stalled = {}) {
        auto& party = this->parties.emplace_back();
        if (stalled > helpers::duration::zero())
            party.since = this->loop.time().now() - stalled;
        REQUIRE(this->account.try_hold(party, bytes));
        return party;
    }

    kernel::manual_loop loop;
    admission::memory_budget budget{8 * megabyte};
    http::memory_account account{this->budget, this->loop.time()};
    std::list<fake_party> parties;
};

} // namespace

TEST_CASE_FIXTURE(account_fixture, "memory account: counts exactly what parties hold") {
    auto& party = this->add(megabyte);
    CHECK(this->account.used() == megabyte);
    CHECK(this->account.try_hold(party, 3 * megabyte));
    CHECK(this->budget.used() == 3 * megabyte);
    this->account.hold(party, 2 * megabyte);
    CHECK(this->account.used() == 2 * megabyte);
    this->account.release(party);
    this->account.release(party);
    CHECK(this->account.used() == 0);
}

// Guards against large requests in progress that leave no room for small ones.
TEST_CASE_FIXTURE(account_fixture, "memory account: an eighth is left to small requests") {
    this->add(7 * megabyte);
    fake_party large;
    CHECK_FALSE(this->account.try_hold(large, 65 * kilobyte));
    CHECK(this->account.used() == 7 * megabyte);
    for (int i = 0; i < 16; ++i)
        this->add(64 * kilobyte);
    CHECK(this->account.used() == 8 * megabyte);
}

// Guards against callers that stop just short of the end and keep the memory.
TEST_CASE_FIXTURE(account_fixture,
                  "memory account: what is held most for longest without progress is evicted") {
    auto& large = this->add(3 * megabyte, 2s);
    auto& old = this->add(2 * megabyte, 4s);
    auto& moving = this->add(2 * megabyte, 500ms);
    auto& added = this->add(megabyte);
    CHECK(old.is_evicted);
    CHECK_FALSE(large.is_evicted);
    CHECK(this->account.try_hold(added, 3 * megabyte));
    CHECK(large.is_evicted);
    CHECK_FALSE(moving.is_evicted);
    CHECK(this->account.totals().evicted == 2);
    CHECK(this->account.used() == 5 * megabyte);
}

// Guards against a large request that displaces others which are making progress.
TEST_CASE_FIXTURE(account_fixture, "memory account: parties that make progress are not displaced") {
    auto& moving = this->add(4 * megabyte, 500ms);
    auto& in_service = this->add(3 * megabyte);
    in_service.is_in_service = true;
    fake_party large;
    CHECK_FALSE(this->account.try_hold(large, megabyte));
    CHECK_FALSE(moving.is_evicted);
    CHECK_FALSE(in_service.is_evicted);
}

TEST_CASE_FIXTURE(account_fixture, "memory account: a small request displaces the largest party") {
    auto& large = this->add(6 * megabyte);
    std::list<fake_party*> small;
    for (int i = 0; i < 32; ++i)
        small.push_back(&this->add(64 * kilobyte));
    CHECK_FALSE(large.is_evicted);
    auto& one_more = this->add(64 * kilobyte);
    CHECK(large.is_evicted);
    CHECK(one_more.held() == 64 * kilobyte);
    for (const auto* each : small)
        CHECK_FALSE(each->is_evicted);
}

// Guards against responses of targets that grow beyond the memory together.
TEST_CASE_FIXTURE(account_fixture,
                  "memory account: responses that do not fit end the largest one") {
    auto& first = this->add(64 * kilobyte);
    auto& second = this->add(64 * kilobyte);
    this->account.hold(first, 4 * megabyte);
    this->account.hold(second, 3 * megabyte + 64 * kilobyte);
    CHECK(first.is_evicted);
    CHECK_FALSE(second.is_evicted);
    CHECK(this->account.used() == 3 * megabyte + 64 * kilobyte);
}

TEST_CASE("memory account: without a limit everything fits") {
    kernel::manual_loop loop;
    admission::memory_budget budget(0);
    http::memory_account account(budget, loop.time());
    fake_party party;
    CHECK(account.try_hold(party, std::size_t{1} << 40));
    account.hold(party, std::size_t{1} << 41);
    CHECK_FALSE(party.is_evicted);
    account.release(party);
}
