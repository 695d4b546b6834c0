// Random schedules: many keyed requests through several routers with kills, outages, lost answers
// and lost frames. Nothing runs twice, and what was answered as not run never ran.
#include "tests/claims/fake_claim_fleet.hpp"
#include "tests/claims/journal_rules.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

using namespace samphirespool;
using namespace std::chrono_literals;
using claims::claim_verdict;

namespace {

constexpr int requests_per_seed = 12'500;
constexpr int keys_per_seed = 5'000;
constexpr std::size_t router_count = 5;

struct schedule {
    explicit schedule(std::uint64_t seed) : fleet(router_count, seed), random(seed * 7919) {
        this->fleet.shared.faults.write_fault_share = 0.05;
        this->fleet.shared.faults.read_fault_share = 0.02;
        this->fleet.frames.lost_share = 0.02;
        this->runs.resize(keys_per_seed);
    }

    void start_request() {
        const auto at = this->random.below(router_count);
        const auto key = this->random.below(keys_per_seed);
        const std::chrono::milliseconds wait(100 + this->random.below(3000));
        const auto wanted = this->fleet.request(at, "k" + std::to_string(key), wait);
        const auto incarnation = this->fleet.routers[at]->incarnation;
        ++this->started;
        this->fleet.routers[at]->manager->claim(
            wanted, [this, at, incarnation, key, wanted](const claims::claim_result& got) {
                this->take(at, incarnation, key, wanted, got);
            });
    }

    // As a router does: sends within the validity, then completes; or releases what was not sent.
    void take(std::size_t at, std::uint64_t incarnation, std::size_t key,
              const claims::claim_request& wanted, const claims::claim_result& got) {
        ++this->verdicts[got.verdict];
        if (got.verdict == claim_verdict::executed)
            this->executed_truly = this->executed_truly && this->runs[key] == 1;
        if (got.verdict == claim_verdict::unavailable)
            this->rules.given_back.insert(wanted.request);
        if (got.verdict != claim_verdict::claimed)
            return;
        if (this->random.below(10) == 0) {
            this->rules.given_back.insert(wanted.request);
            this->fleet.routers[at]->manager->release(wanted);
            return;
        }
        const std::chrono::milliseconds delay(this->random.below(40));
        this->fleet.loop.schedule(delay, [this, at, incarnation, key, wanted, got] {
            const auto& router = *this->fleet.routers[at];
            if (router.incarnation != incarnation ||
                this->fleet.loop.time().now() >= got.valid_until)
                return;
            ++this->runs[key];
            router.manager->complete(wanted);
        });
    }

    void disturb() {
        const auto choice = this->random.below(100);
        if (choice < 8)
            this->fleet.start(this->random.below(router_count));
        if (choice == 20)
            this->fleet.shared.set_down(true);
        if (choice >= 21 && choice < 40)
            this->fleet.shared.set_down(false);
        // One router loses the store for itself, or the fleet most of its frames.
        if (choice >= 40 && choice < 44)
            this->toggle_store(this->fleet.routers[choice - 40]->objects);
        if (choice == 50)
            this->fleet.frames.lost_share = 0.9;
        if (choice >= 51 && choice < 60)
            this->fleet.frames.lost_share = 0.02;
    }

    static void toggle_store(tests::fake_object_store& client) {
        client.set_cut_off(!client.is_cut_off());
    }

    void run() {
        while (this->started < requests_per_seed) {
            for (std::size_t i = 0; i < 10; ++i)
                this->start_request();
            this->fleet.loop.advance(20ms);
            if (this->random.below(5) == 0)
                this->disturb();
        }
        this->fleet.loop.advance(10s);
    }

    tests::claim_fleet fleet;
    tests::journal_rules rules{this->fleet.shared};
    kernel::random_source random;
    std::vector<int> runs;
    std::map<claim_verdict, int> verdicts;
    bool executed_truly = true;
    int started = 0;
};

} // namespace

TEST_CASE("claim schedules: nothing runs twice in 100,000 keyed requests") {
    int claimed = 0;
    int run = 0;
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        CAPTURE(seed);
        schedule each(seed);
        each.run();
        for (const auto count : each.runs) {
            CHECK(count <= 1);
            run += count;
        }
        CHECK(each.executed_truly);
        for (const auto& rule : each.rules.broken())
            FAIL_CHECK(rule);
        CHECK(each.rules.updates() > 500);
        claimed += each.verdicts[claim_verdict::claimed];
    }
    // The schedules get far enough to mean something.
    CHECK(claimed > 20'000);
    CHECK(run > 15'000);
}
