// Tests of the placement strategies and of the chat key.
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

struct strategy_test {
    explicit strategy_test(std::string_view name)
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

TEST_CASE("every strategy ranks the wanted number of eligible targets without duplicates") {
    for (const auto& name : placement::strategy_registry::instance().names()) {
        CAPTURE(name);
        strategy_test test(name);
        auto targets = make_targets(20, 2);
        for (std::size_t i = 0; i < 20; i += 3)
            targets[i].eligible = false;
        test.strategy->rebuild(targets);
        for (std::size_t chat = 0; chat < 200; ++chat) {
            const auto candidates = test.rank(key_of(chat), targets, 10);
            CHECK(candidates.size() == 10);
            CHECK(std::set<std::size_t>(candidates.begin(), candidates.end()).size() == 10);
            CHECK(std::ranges::all_of(candidates,
                                      [&](std::size_t i) { return targets[i].eligible; }));
        }
        for (auto& target : targets)
            target.eligible = false;
        test.strategy->rebuild(targets);
        CHECK(test.rank(key_of(1), targets).empty());
    }
}

TEST_CASE("rendezvous: removing a target moves only its chats, each to its second choice") {
    strategy_test test("bounded-rendezvous");
    auto targets = make_targets(50);
    test.strategy->rebuild(targets);
    constexpr std::size_t chats = 5000;
    std::vector<std::vector<std::size_t>> before;
    for (std::size_t chat = 0; chat < chats; ++chat)
        before.push_back(test.rank(key_of(chat), targets));
    targets[17].eligible = false;
    test.strategy->rebuild(targets);
    for (std::size_t chat = 0; chat < chats; ++chat) {
        auto expected = before[chat];
        std::erase(expected, 17U);
        const auto after = test.rank(key_of(chat), targets);
        CHECK(after.front() == expected.front());
        CHECK(std::equal(expected.begin(), expected.end(), after.begin()));
    }
}

TEST_CASE("rendezvous: chats per target follow the weights, and a growing weight moves chats only "
          "to its target") {
    strategy_test test("bounded-rendezvous");
    auto targets = make_targets(20);
    constexpr std::size_t chats = 40'000;
    const auto first_choices = [&] {
        test.strategy->rebuild(targets);
        std::vector<std::size_t> result;
        for (std::size_t chat = 0; chat < chats; ++chat)
            result.push_back(test.rank(key_of(chat), targets, 1).front());
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

TEST_CASE("rendezvous: the overflow of a target spreads evenly over all other targets") {
    strategy_test test("bounded-rendezvous");
    const auto targets = make_targets(12);
    test.strategy->rebuild(targets);
    constexpr std::size_t chats = 100'000;
    constexpr std::size_t count = 12;
    std::vector<std::size_t> pairs(count * count);
    for (std::size_t chat = 0; chat < chats; ++chat) {
        const auto candidates = test.rank(key_of(chat), targets, 2);
        ++pairs[candidates[0] * count + candidates[1]];
    }
    // Six standard deviations around an even spread.
    constexpr double expected = chats / (12.0 * 11);
    for (std::size_t i = 0; i < pairs.size(); ++i)
        if (i / count != i % count)
            CHECK(std::abs(static_cast<double>(pairs[i]) - expected) < 6 * std::sqrt(expected));
}

TEST_CASE("rendezvous: the own region comes first, and the data centre does not affect a chat's "
          "targets") {
    strategy_test test("bounded-rendezvous");
    const auto targets = make_targets(60, 3);
    test.strategy->rebuild(targets);
    for (std::size_t chat = 0; chat < 100; ++chat) {
        const auto candidates = test.rank(key_of(chat), targets, 24, 2);
        for (std::size_t i = 0; i < 20; ++i)
            CHECK(targets[candidates[i]].region == helpers::region_id{2});
        std::vector<std::size_t> from_elsewhere;
        test.strategy->rank({key_of(chat), helpers::data_centre_id{5}, helpers::region_id{2}, 24},
                            targets, test.random, from_elsewhere);
        CHECK(from_elsewhere == candidates);
    }
}

TEST_CASE(
    "rendezvous: a request without a chat prefers its data centre, then the less loaded target") {
    strategy_test test("bounded-rendezvous");
    auto targets = make_targets(9);
    for (std::size_t i = 0; i < targets.size(); ++i)
        targets[i].load = static_cast<double>(i);
    test.strategy->rebuild(targets);
    const auto candidates = test.rank(placement::no_chat, targets, 9);
    CHECK(candidates == std::vector<std::size_t>{0, 3, 6, 1, 2, 4, 5, 7, 8});
}

TEST_CASE(
    "a chat keeps its key while it grows and shares it with chats with the same long prefix") {
    const helpers::organisation_id first{1};
    const helpers::organisation_id second{2};
    const std::string document(placement::leading_bytes, 'c');
    const std::string other(placement::leading_bytes, 'd');
    const auto key = [](std::string_view name, helpers::organisation_id organisation,
                        std::vector<std::string_view> messages) {
        return placement::make_chat_key(name, organisation, "model", messages);
    };
    const auto first_question = document + "what is the price?";
    const auto second_question = document + "who signs?";
    CHECK(key("", first, {first_question}) == key("", first, {second_question}));
    CHECK(key("", first, {first_question}) == key("", second, {first_question}));
    CHECK(key("", first, {first_question}) != key("", first, {other}));
    CHECK(key("", first, {"be brief", "one"}) != key("", first, {"be brief", "two"}));
    CHECK(key("a", first, {first_question}) == key("a", first, {other}));
    CHECK(key("a", first, {first_question}) != key("a", second, {first_question}));
    CHECK(key("", first, {}) == placement::no_chat);
}
