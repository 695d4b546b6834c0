// Tests of the record of targets per chat key, alone and as the ledger uses it.
#include "admission/target_ledger.hpp"

#include <doctest/doctest.h>

#include <array>

using namespace samphirespool;
using namespace std::chrono_literals;

namespace {

constexpr helpers::chat_key document{10};
constexpr helpers::chat_key chat{11};
constexpr helpers::chat_key other_chat{12};
constexpr std::array<helpers::target_id, 3> candidates{{{1}, {2}, {3}}};
constexpr helpers::time_point now{1h};

} // namespace

TEST_CASE("chat target history: bounded in keys and in targets per key") {
    admission::chat_target_history history(2);
    history.record({1}, {1}, 1);
    history.record({2}, {1}, 1);
    history.record({1}, {2}, 1);
    history.record({3}, {1}, 1);
    CHECK(history.size() == 2);
    CHECK_FALSE(history.contains({2}));
    CHECK(history.ran_on({1}, {1}, 1));
    CHECK(history.ran_on({1}, {2}, 1));
    CHECK_FALSE(history.ran_on({1}, {2}, 2));
    for (std::uint64_t target = 3; target < 3 + admission::chat_target_history::targets_per_key;
         ++target)
        history.record({1}, {target}, 1);
    CHECK_FALSE(history.ran_on({1}, {1}, 1));
    CHECK(history.ran_on({1}, {3}, 1));
}

TEST_CASE("target ledger: prefers targets of the conversation, then targets of the same key") {
    admission::target_ledger ledger(100);
    std::vector<admission::ledger_target> listed;
    listed.reserve(candidates.size());
    for (const auto target : candidates)
        listed.push_back({target, 1, 64, 64, true});
    ledger.set_targets(listed, now);
    const auto reserve = [&](std::span<const helpers::target_id> allowed,
                             helpers::chat_key conversation) {
        return ledger.try_reserve(allowed, 1000, now, {document, conversation}).value();
    };
    CHECK(reserve(candidates, chat) == candidates[0]);
    // Once a chat ran on its second choice it stays there, even when the first has room again.
    CHECK(reserve(std::span(candidates).subspan(1, 1), other_chat) == candidates[1]);
    CHECK(reserve(candidates, other_chat) == candidates[1]);
    CHECK(reserve(candidates, chat) == candidates[0]);
    // A new chat about the document goes to the less loaded of the two targets that have cached it,
    // never to the third.
    ledger.finish(candidates[0], 1000, admission::release::result::success, 1ms, now);
    CHECK(reserve(candidates, {13}) == candidates[0]);
    // A new incarnation of the target has an empty cache.
    listed[1].incarnation = 2;
    ledger.set_targets(listed, now);
    CHECK(reserve(candidates, other_chat) == candidates[0]);
    // Eligibility takes precedence over the hint.
    listed[0].eligible = false;
    ledger.set_targets(listed, now);
    CHECK(reserve(candidates, chat) == candidates[1]);
}
