// Tests of the placement strategies.
#include "helpers/ids.hpp"
#include "placement/chat_key.hpp"
#include "placement/placement_strategy.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <string>

using namespace samphirespool;

namespace {

std::vector<placement::target_view> make_targets(std::size_t count, std::size_t regions = 1) {
    std::vector<placement::target_view> targets(count);
    for (std::size_t i = 0; i < count; ++i) {
        targets[i].id = helpers::id_of<helpers::target_id>("target-" + std::to_string(i));
        targets[i].region = helpers::region_id{1 + i % regions};
        targets[i].data_centre = helpers::data_centre_id{1 + i % (3 * regions)};
    }
    return targets;
}

helpers::chat_key key_of(std::size_t chat) {
    return helpers::id_of<helpers::chat_key>("chat-" + std::to_string(chat));
}

struct ranked {
    explicit ranked(std::string_view name)
        : strategy(placement::strategy_registry::instance().make(name)) {}

    std::vector<std::size_t> rank(helpers::chat_key key,
                                  const std::vector<placement::target_view>& targets,
                                  std::size_t wanted = 4, std::uint64_t region = 1) {
        std::vector<std::size_t> candidates;
        this->strategy->rank({key, helpers::data_centre_id{1}, helpers::region_id{region}, wanted},
                             targets, this->random, candidates);
        return candidates;
    }

    std::unique_ptr<placement::placement_strategy> strategy;
    kernel::random_source random{7};
};

} // namespace

TEST_CASE("every strategy ranks eligible targets only, none twice, as many as wanted") {
    for (const auto& name : placement::strategy_registry::instance().names()) {
        CAPTURE(name);
        ranked tested(name);
        auto targets = make_targets(20, 2);
        for (std::size_t i = 0; i < 20; i += 3)
            targets[i].eligible = false;
        tested.strategy->rebuild(targets);
        for (std::size_t chat = 0; chat < 200; ++chat) {
            const auto candidates = tested.rank(key_of(chat), targets, 10);
            CHECK(candidates.size() == 10);
            CHECK(std::set<std::size_t>(candidates.begin(), candidates.end()).size() == 10);
            CHECK(std::ranges::all_of(candidates,
                                      [&](std::size_t i) { return targets[i].eligible; }));
        }
        for (auto& target : targets)
            target.eligible = false;
        tested.strategy->rebuild(targets);
        CHECK(tested.rank(key_of(1), targets).empty());
    }
}

TEST_CASE("rendezvous moves only the chats of a lost target, each to its own second choice") {
    ranked tested("bounded-rendezvous");
    auto targets = make_targets(50);
    tested.strategy->rebuild(targets);
    constexpr std::size_t chats = 5000;
    std::vector<std::vector<std::size_t>> before;
    for (std::size_t chat = 0; chat < chats; ++chat)
        before.push_back(tested.rank(key_of(chat), targets));
    targets[17].eligible = false;
    tested.strategy->rebuild(targets);
    for (std::size_t chat = 0; chat < chats; ++chat) {
        auto expected = before[chat];
        std::erase(expected, 17U);
        const auto after = tested.rank(key_of(chat), targets);
        CHECK(after.front() == expected.front());
        CHECK(std::equal(expected.begin(), expected.end(), after.begin()));
    }
}

TEST_CASE("rendezvous gives each target its weight's share and moves chats only towards growth") {
    ranked tested("bounded-rendezvous");
    auto targets = make_targets(20);
    constexpr std::size_t chats = 40'000;
    const auto first_choices = [&] {
        tested.strategy->rebuild(targets);
        std::vector<std::size_t> result;
        for (std::size_t chat = 0; chat < chats; ++chat)
            result.push_back(tested.rank(key_of(chat), targets, 1).front());
        return result;
    };
    targets[3].weight = 0.25;
    const auto light = first_choices();
    targets[3].weight = 0.5;
    const auto heavier = first_choices();
    const auto share = [](const std::vector<std::size_t>& choices, std::size_t target) {
        return static_cast<double>(std::ranges::count(choices, target)) / chats;
    };
    CHECK(share(light, 3) == doctest::Approx(0.25 / 19.25).epsilon(0.1));
    CHECK(share(heavier, 3) == doctest::Approx(0.5 / 19.5).epsilon(0.1));
    CHECK(share(light, 4) == doctest::Approx(1 / 19.25).epsilon(0.1));
    for (std::size_t chat = 0; chat < chats; ++chat)
        if (light[chat] != heavier[chat])
            CHECK(heavier[chat] == 3);
}

TEST_CASE("the overflow of a target spreads evenly over all others") {
    ranked tested("bounded-rendezvous");
    const auto targets = make_targets(12);
    tested.strategy->rebuild(targets);
    constexpr std::size_t chats = 100'000;
    constexpr std::size_t count = 12;
    std::vector<std::size_t> pairs(count * count);
    for (std::size_t chat = 0; chat < chats; ++chat) {
        const auto candidates = tested.rank(key_of(chat), targets, 2);
        ++pairs[candidates[0] * count + candidates[1]];
    }
    // Six standard deviations around an even spread.
    constexpr double expected = chats / (12.0 * 11);
    for (std::size_t i = 0; i < pairs.size(); ++i)
        if (i / count != i % count)
            CHECK(std::abs(static_cast<double>(pairs[i]) - expected) < 6 * std::sqrt(expected));
}

TEST_CASE("the own region comes first and the data centre does not move a chat") {
    ranked tested("bounded-rendezvous");
    const auto targets = make_targets(60, 3);
    tested.strategy->rebuild(targets);
    for (std::size_t chat = 0; chat < 100; ++chat) {
        const auto candidates = tested.rank(key_of(chat), targets, 24, 2);
        for (std::size_t i = 0; i < 20; ++i)
            CHECK(targets[candidates[i]].region == helpers::region_id{2});
        std::vector<std::size_t> from_elsewhere;
        tested.strategy->rank({key_of(chat), helpers::data_centre_id{5}, helpers::region_id{2}, 24},
                              targets, tested.random, from_elsewhere);
        CHECK(from_elsewhere == candidates);
    }
}

TEST_CASE("a request without a chat prefers its data centre, then the less loaded target") {
    ranked tested("bounded-rendezvous");
    auto targets = make_targets(9);
    for (std::size_t i = 0; i < targets.size(); ++i)
        targets[i].load = static_cast<double>(i);
    tested.strategy->rebuild(targets);
    const auto candidates = tested.rank(placement::no_chat, targets, 9);
    CHECK(candidates == std::vector<std::size_t>{0, 3, 6, 1, 2, 4, 5, 7, 8});
}

TEST_CASE("a chat keeps its key while it grows and shares it with the same long beginning") {
    const helpers::organisation_id first{1};
    const helpers::organisation_id second{2};
    const std::string document(placement::leading_bytes, 'c');
    const std::string other(placement::leading_bytes, 'd');
    const auto key = [](std::string_view name, helpers::organisation_id organisation,
                        std::vector<std::string_view> messages) {
        return placement::make_chat_key(name, organisation, "model", messages);
    };
    const auto asked = document + "what is the price?";
    const auto asked_again = document + "who signs?";
    CHECK(key("", first, {asked}) == key("", first, {asked_again}));
    CHECK(key("", first, {asked}) == key("", second, {asked}));
    CHECK(key("", first, {asked}) != key("", first, {other}));
    CHECK(key("", first, {"be brief", "one"}) != key("", first, {"be brief", "two"}));
    CHECK(key("a", first, {asked}) == key("a", first, {other}));
    CHECK(key("a", first, {asked}) != key("a", second, {asked}));
    CHECK(key("", first, {}) == placement::no_chat);
}
