// Tests of claims: verdicts, several owners, lost replies, store outages and dated keys.
#include "tests/claims/fake_claim_fleet.hpp"
#include "tests/claims/journal_rules.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <set>
#include <string>

using namespace samphirespool;
using namespace std::chrono_literals;
using claims::claim_verdict;
using tests::write_outcome;

TEST_CASE("claims: the same key through any two routers is claimed once") {
    tests::claim_fleet fleet(4);
    const auto first = fleet.request(0, "k");
    CHECK(fleet.claim(0, first).verdict == claim_verdict::claimed);
    CHECK(fleet.claim(0, first).verdict == claim_verdict::claimed);
    for (std::size_t i = 0; i < 4; ++i)
        CHECK(fleet.verdict(i, "k") == claim_verdict::taken);
    CHECK(fleet.verdict(1, "k", 99) == claim_verdict::mismatch);
    fleet.routers[0]->manager->complete(first);
    fleet.loop.advance(3s);
    CHECK(fleet.verdict(2, "k") == claim_verdict::executed);
    CHECK(fleet.verdict(2, "k", 99) == claim_verdict::mismatch);
}

TEST_CASE("claims: another request can claim a released key, the request that released it cannot") {
    tests::claim_fleet fleet(3);
    const auto first = fleet.request(1, "k");
    REQUIRE(fleet.claim(1, first).verdict == claim_verdict::claimed);
    fleet.routers[1]->manager->release(first);
    fleet.loop.advance(1s);
    const auto second = fleet.request(2, "k");
    CHECK(fleet.claim(2, second).verdict == claim_verdict::claimed);
    fleet.routers[2]->manager->release(second);
    fleet.loop.advance(1s);
    CHECK(fleet.claim(2, second).verdict == claim_verdict::unavailable);
}

TEST_CASE("claims: a lost reply to any kind of write is resolved by reading back") {
    for (const auto outcome : {write_outcome::lost_before_effect, write_outcome::lost_after_effect,
                               write_outcome::lost_and_late, write_outcome::rejected}) {
        tests::claim_fleet fleet(3);
        fleet.shared.faults.scripted["claims/"] = {outcome, outcome};
        // Enough claims for snapshots and merges, with the same fault at regular intervals.
        std::set<std::string> claimed;
        for (int i = 0; i < 400; ++i) {
            if (i % 7 == 0)
                fleet.shared.faults.scripted["claims/"] = {outcome};
            const auto key = "k" + std::to_string(i);
            if (fleet.verdict(static_cast<std::size_t>(i) % 3, key) == claim_verdict::claimed)
                claimed.insert(key);
        }
        CHECK(claimed.size() == 400);
        for (const auto& key : claimed)
            CHECK(fleet.verdict(1, key) == claim_verdict::taken);
    }
}

TEST_CASE("claims: records survive the restart of all routers") {
    tests::claim_fleet fleet(3);
    for (int i = 0; i < 300; ++i)
        REQUIRE(fleet.verdict(static_cast<std::size_t>(i) % 3, "k" + std::to_string(i)) ==
                claim_verdict::claimed);
    for (std::size_t i = 0; i < 3; ++i)
        fleet.start(i);
    for (int i = 0; i < 300; ++i)
        CHECK(fleet.verdict(static_cast<std::size_t>(i) % 3, "k" + std::to_string(i)) ==
              claim_verdict::taken);
    std::size_t objects = 0;
    fleet.shared.objects.visit("claims/", [&objects](const auto&, const auto&) { ++objects; });
    // Snapshots are merged, and the merged ones are removed.
    CHECK(objects < 100);
}

TEST_CASE("claims: without the store a claim waits until its deadline and is unavailable") {
    tests::claim_fleet fleet(3);
    REQUIRE(fleet.verdict(0, "before") == claim_verdict::claimed);
    fleet.shared.set_down(true);
    const auto start = fleet.loop.time().now();
    CHECK(fleet.verdict(0, "k") == claim_verdict::unavailable);
    CHECK(fleet.loop.time().now() - start >= 5s);
    std::optional<claim_verdict> waiting;
    fleet.routers[1]->manager->claim(
        fleet.request(1, "k", 20s),
        [&](const claims::claim_result& result) { waiting = result.verdict; });
    fleet.loop.advance(8s);
    CHECK_FALSE(waiting);
    fleet.shared.set_down(false);
    fleet.loop.advance(3s);
    CHECK(waiting == claim_verdict::claimed);
}

TEST_CASE("claims: a router acts as the owner if the owner is unreachable") {
    tests::claim_fleet fleet(4);
    fleet.frames.loss_rate = 1;
    for (int i = 0; i < 40; ++i) {
        const auto key = "k" + std::to_string(i);
        int claimed = 0;
        for (std::size_t at = 0; at < 4; ++at)
            claimed += fleet.verdict(at, key) == claim_verdict::claimed ? 1 : 0;
        CHECK(claimed == 1);
    }
}

TEST_CASE("claims: a dated key is rejected once its record may be removed, whatever the clock") {
    CHECK(claims::date_of("1700000000000-a") == 1700000000000);
    CHECK(claims::date_of("018bcfe5-6800-7000-8000-000000000000") == 1700000000000);
    CHECK_FALSE(claims::date_of("order-17"));
    CHECK_FALSE(claims::date_of("1700000000000"));
    claims::claim_call call;
    call.key_date = 10 * claims::key_validity_ms;
    const auto verdict_at = [&call](std::int64_t floor, std::int64_t now) {
        return claims::evaluate(call, nullptr, floor, now).verdict;
    };
    CHECK(verdict_at(0, call.key_date) == claim_verdict::claimed);
    CHECK(verdict_at(0, call.key_date + claims::key_validity_ms + 1) == claim_verdict::expired);
    CHECK(verdict_at(0, call.key_date - claims::max_key_lead_ms - 1) == claim_verdict::expired);
    // A slow clock does not make a key below the floor valid again.
    CHECK(verdict_at(call.key_date, call.key_date) == claim_verdict::expired);
}

// Guards against a second execution by an owner that was paused until the key's record was removed
// and whose wall clock still shows the time of the first claim.
TEST_CASE("claims: an owner that was paused while a record was removed rejects the key") {
    tests::claim_fleet fleet(2);
    tests::journal_rules rules(fleet.shared);
    const auto now = fleet.loop.time().wall();
    char digits[32];
    std::snprintf(digits, sizeof digits, "%013lld-x", static_cast<long long>(now));
    const std::string key = digits;
    REQUIRE(fleet.verdict(0, key) == claim_verdict::claimed);
    // Every shard gets claims for longer than the validity of keys.
    for (int hour = 0; hour < 30; ++hour) {
        fleet.loop.advance(1h);
        for (int i = 0; i < 40; ++i)
            fleet.verdict(0, "h" + std::to_string(hour) + "-" + std::to_string(i));
    }
    claims::journal_settings settings;
    settings.shard = claims::shard_of(claims::key_of({7}, key));
    settings.writer = "sleeper";
    claims::claim_journal paused_owner(settings);
    claims::claim_call call;
    call.shard = settings.shard;
    call.key = claims::key_of({7}, key);
    call.key_date = now;
    call.fingerprint = 1;
    call.request = {{9}, {9}, 9};
    call.remaining = 10s;
    // The wall clock of this owner stays at the time of the first claim.
    paused_owner.submit(call, fleet.loop.time().now());
    std::optional<claim_verdict> verdict;
    for (int i = 0; i < 100 && !verdict; ++i) {
        paused_owner.tick(fleet.loop.time().now(), now);
        for (const auto& action : paused_owner.drain()) {
            if (const auto* reply = std::get_if<claims::call_reply>(&action))
                verdict = reply->verdict;
            const auto* read = std::get_if<claims::read_object>(&action);
            if (read == nullptr)
                continue;
            const auto found = fleet.shared.find(read->key);
            paused_owner.on_reply(
                {claims::object_status::ok, found.entry.version, found.entry.value},
                fleet.loop.time().now(), now);
        }
    }
    CHECK(verdict == claim_verdict::expired);
    // Journals that were removed as unused and created again repeat neither nonces nor names.
    for (const auto& rule : rules.violations())
        FAIL_CHECK(rule);
}
