// Random schedules: many keyed requests through several routers with kills, store outages, lost
// replies and lost frames. Guards against a key that runs twice or runs after an `unavailable`.
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
        this->fleet.frames.loss_rate = 0.02;
        this->runs.resize(keys_per_seed);
    }

    void start_request() {
        const auto at = this->random.below(router_count);
        const auto key = this->random.below(keys_per_seed);
        const std::chrono::milliseconds wait(100 + this->random.below(3000));
        const auto request = this->fleet.request(at, "k" + std::to_string(key), wait);
        const auto incarnation = this->fleet.routers[at]->incarnation;
        ++this->started;
        this->fleet.routers[at]->manager->claim(
            request, [this, at, incarnation, key, request](const claims::claim_result& result) {
                this->handle_result(at, incarnation, key, request, result);
            });
    }

    // Acts as a router does: sends within the validity and then completes, or releases without
    // sending.
    void handle_result(std::size_t at, std::uint64_t incarnation, std::size_t key,
                       const claims::claim_request& request, const claims::claim_result& result) {
        ++this->verdicts[result.verdict];
        if (result.verdict == claim_verdict::executed)
            this->executed_verdicts_correct =
                this->executed_verdicts_correct && this->runs[key] == 1;
        if (result.verdict == claim_verdict::unavailable)
            this->rules.released.insert(request.request);
        if (result.verdict != claim_verdict::claimed)
            return;
        if (this->random.below(10) == 0) {
            this->rules.released.insert(request.request);
            this->fleet.routers[at]->manager->release(request);
            return;
        }
        const std::chrono::milliseconds delay(this->random.below(40));
        this->fleet.loop.schedule(delay, [this, at, incarnation, key, request, result] {
            const auto& router = *this->fleet.routers[at];
            if (router.incarnation != incarnation ||
                this->fleet.loop.time().now() >= result.valid_until)
                return;
            ++this->runs[key];
            router.manager->complete(request);
        });
    }

    void inject_fault() {
        const auto choice = this->random.below(100);
        if (choice < 8)
            this->fleet.start(this->random.below(router_count));
        if (choice == 20)
            this->fleet.shared.set_down(true);
        if (choice >= 21 && choice < 40)
            this->fleet.shared.set_down(false);
        // One router loses its connection to the store, or the fleet loses most frames.
        if (choice >= 40 && choice < 44)
            this->toggle_store(this->fleet.routers[choice - 40]->objects);
        if (choice == 50)
            this->fleet.frames.loss_rate = 0.9;
        if (choice >= 51 && choice < 60)
            this->fleet.frames.loss_rate = 0.02;
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
                this->inject_fault();
        }
        this->fleet.loop.advance(10s);
    }

    tests::claim_fleet fleet;
    tests::journal_rules rules{this->fleet.shared};
    kernel::random_source random;
    std::vector<int> runs;
    std::map<claim_verdict, int> verdicts;
    bool executed_verdicts_correct = true;
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
        CHECK(each.executed_verdicts_correct);
        for (const auto& rule : each.rules.violations())
            FAIL_CHECK(rule);
        CHECK(each.rules.updates() > 500);
        claimed += each.verdicts[claim_verdict::claimed];
    }
    // Enough requests were claimed and ran for the checks above to be meaningful.
    CHECK(claimed > 20'000);
    CHECK(run > 15'000);
}
