// Tests of the quarantine of prompt segments, with an injected clock and without a network.
#include "admission/crash_quarantine.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <string>

using namespace samphirespool;
using namespace std::chrono_literals;
using admission::crash_quarantine;
using verdict = crash_quarantine::verdict;

namespace {

constexpr std::uint64_t common = 0xa1;
constexpr std::uint64_t bad = 0xbad;

// The shared segments of a prompt, without the request itself.
admission::suspect_list prompt_of(const std::vector<std::uint64_t>& shared) {
    admission::suspect_list result;
    for (const auto id : shared)
        result.push_back({id, static_cast<std::uint8_t>(result.size())});
    return result;
}

const auto harmful = prompt_of({common, bad});

class quarantine_under_test : public crash_quarantine {
public:
    explicit quarantine_under_test(const std::string& name = "g1") : crash_quarantine(name) {}

    // Loses targets `first` to `last` at the start of the response to the prompt, a second apart.
    void lose(const admission::suspect_list& prompt, std::uint32_t first, std::uint32_t last,
              bool had_begun = true) {
        for (auto target = first; target <= last; ++target) {
            this->now += 1s;
            this->on_target_lost(prompt, target, had_begun, verdict::admitted, this->now);
        }
    }

    helpers::time_point now{1h};
};

} // namespace

// Guards against a gateway that never connects lost targets with a prompt (inc1).
TEST_CASE("segment quarantine: three targets lost at the start of a response, and no sooner") {
    quarantine_under_test quarantine;
    quarantine.lose(harmful, 1, 2);
    CHECK(quarantine.check(harmful, quarantine.now).result == verdict::admitted);
    quarantine.lose(harmful, 3, 3);
    CHECK(quarantine.check(harmful, quarantine.now).result == verdict::quarantined);
    CHECK(quarantine.quarantined_segments() == 1);
}

// Guards against the segments that precede a harmful one being blamed with it.
TEST_CASE("segment quarantine: of segments with the same losses only the deepest is quarantined") {
    quarantine_under_test quarantine;
    quarantine.lose(harmful, 1, 8);
    CHECK(quarantine.check(prompt_of({common, 0xb2}), quarantine.now).result == verdict::admitted);
    CHECK(quarantine.check(prompt_of({0xc3, bad}), quarantine.now).result == verdict::quarantined);
}

// Guards against a harmful first segment that hides behind many different second ones.
TEST_CASE("segment quarantine: a harmful first segment is found among different second ones") {
    quarantine_under_test quarantine;
    for (std::uint32_t i = 1; i <= 3; ++i)
        quarantine.lose(prompt_of({bad, 0x100 + i}), i, i);
    CHECK(quarantine.check(prompt_of({bad, 0x200}), quarantine.now).result == verdict::quarantined);
    CHECK(quarantine.quarantined_segments() == 1);
}

// Guards against the last segment, which no other request has, filling the evidence.
TEST_CASE("segment quarantine: a prompt with no shared segment is never quarantined") {
    quarantine_under_test quarantine;
    quarantine.lose(prompt_of({}), 1, 9);
    CHECK(quarantine.check(prompt_of({}), quarantine.now).result == verdict::admitted);
    CHECK(quarantine.evidence(quarantine.now).empty());
}

// Guards against prompts that crash a target before it responds at all.
TEST_CASE("segment quarantine: losses before the start of a response count less") {
    quarantine_under_test quarantine;
    quarantine.lose(harmful, 1, 4, false);
    CHECK(quarantine.check(harmful, quarantine.now).result == verdict::admitted);
    quarantine.lose(harmful, 5, 5, false);
    CHECK(quarantine.check(harmful, quarantine.now).result == verdict::quarantined);
}

// Guards against sound requests that are hit by a series of losses and served in between.
TEST_CASE("segment quarantine: a response that gets past its start clears its segments") {
    quarantine_under_test quarantine;
    for (std::uint32_t i = 0; i < 20; i += 2) {
        quarantine.lose(harmful, i, i + 1);
        quarantine.on_under_way(harmful, quarantine.now);
    }
    CHECK(quarantine.check(harmful, quarantine.now).result == verdict::admitted);
}

// Guards against a lost rack, data centre or network interface being blamed on prompts.
TEST_CASE("segment quarantine: targets that are lost at one moment count once") {
    quarantine_under_test quarantine;
    for (std::uint32_t target = 1; target <= 30; ++target)
        quarantine.on_target_lost(harmful, target, true, verdict::admitted,
                                  quarantine.now + target * 3ms);
    CHECK(quarantine.check(harmful, quarantine.now).result == verdict::admitted);
}

// Guards against a segment that is blamed for losses which a quarantined one explains.
TEST_CASE("segment quarantine: losses that a quarantined segment explains blame no other one") {
    quarantine_under_test quarantine;
    const auto bystander = prompt_of({common, 0xb2});
    quarantine.lose(harmful, 1, 4);
    for (std::uint32_t target = 1; target <= 4; ++target)
        quarantine.on_target_lost(bystander, target, true, verdict::admitted,
                                  quarantine.now + target * 1s);
    CHECK(quarantine.check(bystander, quarantine.now).result == verdict::admitted);
}

// Guards against gateways of which each sees too few losses.
TEST_CASE("segment quarantine: gateways that each saw one loss find the segment together") {
    std::vector<quarantine_under_test> gateways;
    gateways.reserve(5);
    for (int i = 0; i < 5; ++i)
        gateways.emplace_back("g" + std::to_string(i));
    const auto now = gateways.front().now;
    for (std::uint32_t i = 0; i < 3; ++i)
        gateways[i].on_target_lost(harmful, i + 1, true, verdict::admitted, now + i * 200ms);
    // Each gateway exchanges with the next one only.
    for (int round = 0; round < 5; ++round)
        for (std::size_t i = 0; i + 1 < gateways.size(); ++i) {
            const auto at = now + 1s + round * 100ms;
            gateways[i + 1].merge(gateways[i].evidence(at), at);
            gateways[i].merge(gateways[i + 1].evidence(at), at);
        }
    for (auto& each : gateways)
        CHECK(each.check(harmful, now + 2s).result == verdict::quarantined);
}

// Guards against duplicated, reordered and lost messages.
TEST_CASE("segment quarantine: evidence has the same effect in any order and number") {
    quarantine_under_test origin;
    origin.lose(harmful, 1, 2);
    origin.lose(prompt_of({0xc3, 0xb2}), 3, 3);
    auto entries = origin.evidence(origin.now);
    std::mt19937 random(7);
    for (int i = 0; i < 50; ++i) {
        std::shuffle(entries.begin(), entries.end(), random);
        quarantine_under_test receiver("g2");
        for (int repeats = 0; repeats < 3; ++repeats)
            receiver.merge(entries, origin.now);
        CHECK(receiver.check(harmful, origin.now).result == verdict::admitted);
        receiver.on_target_lost(harmful, 9, true, verdict::admitted, origin.now + 1s);
        CHECK(receiver.check(harmful, origin.now).result == verdict::quarantined);
        CHECK(receiver.check(prompt_of({common, 0xb2}), origin.now).result == verdict::admitted);
        CHECK(receiver.quarantined_segments() == 1);
    }
}

// Guards against gateways that join after the losses, and against old evidence that returns after
// a release.
TEST_CASE("segment quarantine: a gateway that joins late learns both quarantine and release") {
    quarantine_under_test old("g1");
    old.lose(harmful, 1, 4);
    const auto later = old.now + 5min;
    const auto before_release = old.evidence(later);
    quarantine_under_test joined("g2");
    joined.merge(before_release, later);
    CHECK(joined.is_quarantined(harmful));
    old.on_under_way(harmful, later);
    joined.merge(old.evidence(later), later);
    CHECK(joined.check(harmful, later).result == verdict::admitted);
    joined.merge(before_release, later + 1s);
    CHECK(joined.check(harmful, later + 1s).result == verdict::admitted);
}

// Guards against a gateway that has started and does not know how often a segment was cleared.
TEST_CASE("segment quarantine: losses that a restarted gateway reports count after a clearance") {
    quarantine_under_test old("g1");
    old.lose(harmful, 1, 1);
    old.on_under_way(harmful, old.now);
    old.now += 1s;
    for (std::uint32_t target = 2; target <= 4; ++target) {
        quarantine_under_test restarted("g2");
        restarted.on_target_lost(harmful, target, true, verdict::admitted, old.now);
        old.now += 1s;
        old.merge(restarted.evidence(old.now), old.now);
    }
    CHECK(old.check(harmful, old.now).result == verdict::quarantined);
}

// Guards against trials by every gateway at once, each of which may cost a target.
TEST_CASE(
    "segment quarantine: one gateway at a time tries a quarantined segment, ever more rarely") {
    const std::vector<std::string> names{"g1", "g2", "g3", "g4", "g5"};
    std::vector<quarantine_under_test> gateways;
    for (const auto& name : names) {
        gateways.emplace_back(name);
        gateways.back().set_members(names);
        gateways.back().lose(harmful, 1, 3);
    }
    auto now = gateways.front().now;
    std::uint32_t trials = 0;
    const auto end = now + 4min;
    for (; now < end; now += 100ms)
        for (auto& each : gateways) {
            if (each.check(harmful, now).result != verdict::trial)
                continue;
            ++trials;
            each.on_target_lost(harmful, 100 + trials, true, verdict::trial, now);
            for (auto& other : gateways)
                other.merge(each.evidence(now), now);
        }
    // After 6, 30 and 150 s without a loss.
    CHECK(trials == 3);
    const auto harmless_again = [&] {
        for (; now < end + 20min; now += 100ms)
            for (auto& each : gateways)
                if (each.check(harmful, now).result == verdict::trial) {
                    each.on_under_way(harmful, now);
                    return each.evidence(now);
                }
        return admission::crash_evidence_list{};
    }();
    for (auto& each : gateways) {
        each.merge(harmless_again, now);
        CHECK(each.check(harmful, now).result == verdict::admitted);
    }
}

// Guards against memory and messages that grow with the number of segments.
TEST_CASE("segment quarantine: state and messages are bounded, and quarantined segments are kept") {
    quarantine_under_test quarantine;
    quarantine.lose(harmful, 1, 5);
    std::mt19937_64 random(3);
    for (std::uint32_t i = 0; i < 5000; ++i) {
        quarantine.now += 1ms;
        quarantine.on_target_lost(prompt_of({random(), random()}), 100 + i, false,
                                  verdict::admitted, quarantine.now);
    }
    // Guards against evidence of many sound segments that crowds out the harmful one's.
    const auto sent = quarantine.evidence(quarantine.now);
    CHECK(sent.size() <= crash_quarantine::max_sent_evidence);
    REQUIRE_FALSE(sent.empty());
    CHECK(sent.front().suspect == bad);
    CHECK(quarantine.check(harmful, quarantine.now).result == verdict::quarantined);
}

// Guards against a quarantine that was read from the store, without its losses, and never ends.
TEST_CASE("segment quarantine: a successful trial releases a segment whose losses are not known") {
    quarantine_under_test quarantine;
    admission::crash_evidence listed;
    listed.suspect = bad;
    listed.is_quarantined = true;
    quarantine.merge(std::vector{listed}, quarantine.now);
    CHECK(quarantine.check(harmful, quarantine.now).result == verdict::quarantined);
    quarantine.now += 10s;
    REQUIRE(quarantine.check(harmful, quarantine.now).result == verdict::trial);
    quarantine.on_under_way(harmful, quarantine.now);
    CHECK(quarantine.check(harmful, quarantine.now).result == verdict::admitted);
}

// Guards against evidence that is exchanged without end once a segment has more losses than are
// kept.
TEST_CASE("segment quarantine: losses older than those that are kept change nothing") {
    quarantine_under_test quarantine;
    quarantine.lose(harmful, 1, 3);
    const auto old = quarantine.evidence(quarantine.now);
    const auto since = quarantine.now;
    quarantine.lose(harmful, 4, 40);
    quarantine.now += 1min;
    for (int i = 0; i < 3; ++i) {
        auto aged = old;
        for (auto& each : aged)
            each.age += quarantine.now - since;
        quarantine.merge(aged, quarantine.now);
    }
    // Only the latest loss is sent, since nothing is news.
    const auto sent = quarantine.evidence(quarantine.now);
    CHECK(std::count_if(sent.begin(), sent.end(),
                        [](const auto& each) { return each.suspect == bad; }) == 1);
}

namespace {

constexpr std::uint64_t digest = 0xdead;
const admission::suspect_list repeated{{digest, admission::request_depth}};

admission::suspect_list request_with(std::uint64_t other_digest,
                                     const std::vector<std::uint64_t>& shared) {
    auto result = prompt_of(shared);
    result.push_back({other_digest, admission::request_depth});
    return result;
}

// Asks for as long as the request is held, at most a minute.
verdict verdict_after_hold(quarantine_under_test& quarantine,
                           const admission::suspect_list& request) {
    auto result = quarantine.check(request, quarantine.now).result;
    for (int i = 0; i < 1500 && result == verdict::held; ++i) {
        quarantine.now += 40ms;
        result = quarantine.check(request, quarantine.now).result;
    }
    return result;
}

} // namespace

// Guards against rejecting a request because it was in progress at several lost targets by
// coincidence: copies are held until one has been tried.
TEST_CASE("crash quarantine: a request at three lost targets is held, tried, and then rejected") {
    quarantine_under_test quarantine;
    quarantine.lose(repeated, 1, 2, false);
    CHECK(quarantine.check(repeated, quarantine.now).result == verdict::admitted);
    quarantine.lose(repeated, 3, 3, false);
    CHECK(quarantine.quarantined_requests() == 1);
    CHECK(quarantine.check(repeated, quarantine.now).result == verdict::held);
    REQUIRE(verdict_after_hold(quarantine, repeated) == verdict::trial);
    CHECK(quarantine.check(repeated, quarantine.now).result == verdict::held);
    quarantine.on_target_lost(repeated, 4, false, verdict::trial, quarantine.now);
    CHECK(quarantine.check(repeated, quarantine.now).result == verdict::quarantined);
}

// Guards against holding a sound request for longer than its trial takes.
TEST_CASE("crash quarantine: a request whose trial gets a response is sent again") {
    quarantine_under_test quarantine;
    quarantine.lose(repeated, 1, 3, false);
    REQUIRE(verdict_after_hold(quarantine, repeated) == verdict::trial);
    quarantine.on_under_way(repeated, quarantine.now);
    CHECK(quarantine.check(repeated, quarantine.now).result == verdict::admitted);
    CHECK(quarantine.quarantined_requests() == 0);
}

// Guards against blaming a request for losses of which only a part were its own.
TEST_CASE("crash quarantine: a request needs a fourth loss if targets were lost without it") {
    quarantine_under_test quarantine;
    quarantine.lose(repeated, 1, 1, false);
    quarantine.lose(request_with(0xb1, {}), 9, 9, false);
    quarantine.lose(repeated, 2, 3, false);
    CHECK(quarantine.quarantined_requests() == 0);
    quarantine.lose(repeated, 4, 4, false);
    CHECK(quarantine.quarantined_requests() == 1);
}

// Guards against a retry that crashes its next target so soon that both losses count once.
TEST_CASE("crash quarantine: losses of a request count although they are milliseconds apart") {
    quarantine_under_test quarantine;
    for (std::uint32_t target = 1; target <= 3; ++target) {
        quarantine.now += 15ms;
        quarantine.on_target_lost(repeated, target, false, verdict::admitted, quarantine.now);
    }
    CHECK(quarantine.quarantined_requests() == 1);
}

// Guards against blaming the prompt of a harmful request, which sound requests share.
TEST_CASE("crash quarantine: the segments of a harmful request are not blamed for its losses") {
    quarantine_under_test quarantine;
    quarantine.lose(request_with(digest, {common, bad}), 1, 6);
    CHECK(quarantine.quarantined_requests() == 1);
    CHECK(quarantine.quarantined_segments() == 0);
}

// Guards against a harmful segment that hides behind the retries of one request.
TEST_CASE("crash quarantine: a segment is blamed at the third loss although a request had two") {
    quarantine_under_test quarantine;
    quarantine.lose(request_with(0xb1, {common, bad}), 1, 2);
    quarantine.lose(request_with(0xb2, {common, bad}), 3, 3);
    CHECK(quarantine.quarantined_segments() == 1);
    CHECK(quarantine.is_quarantined(prompt_of({bad})));
}

// Guards against a sound request that stays quarantined with the harmful one beside it.
TEST_CASE("crash quarantine: what was lost with a harmful request is released when it is found") {
    quarantine_under_test quarantine;
    const admission::suspect_list neighbour{{0x1, admission::request_depth}};
    for (std::uint32_t target = 1; target <= 3; ++target) {
        quarantine.now += 1s;
        quarantine.on_target_lost(neighbour, target, false, verdict::admitted, quarantine.now);
        quarantine.on_target_lost(repeated, target, false, verdict::admitted, quarantine.now);
    }
    CHECK(quarantine.is_quarantined(neighbour));
    quarantine.lose(repeated, 4, 4, false);
    REQUIRE(verdict_after_hold(quarantine, repeated) == verdict::trial);
    quarantine.on_target_lost(repeated, 5, false, verdict::trial, quarantine.now);
    CHECK_FALSE(quarantine.is_quarantined(neighbour));
    CHECK(quarantine.is_quarantined(repeated));
}
