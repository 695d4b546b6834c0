// Tests of the codec for the messages of the share leases.
#include "kernel/random.hpp"
#include "wire/shares_codec.hpp"

#include <doctest/doctest.h>

using namespace samphirespool;
using namespace std::chrono_literals;

namespace {

const helpers::time_point at{helpers::duration(123456789)};
const ownership::outstanding_grant record{
    helpers::router_id{1}, 2, helpers::target_id{3}, 4, 5, 6, 700ms, true};

ownership::share_message make_message() {
    ownership::share_message content;
    content.sender = helpers::router_id{11};
    content.incarnation = helpers::incarnation{12};
    const ownership::shard_id shard{13};
    content.follows = {{shard}};
    content.challenges = {{shard, at, true, 14, 15}};
    content.promises = {
        {shard, at, helpers::incarnation{16}, true, true, true, 17ms, 18, 19, {record, record}}};
    content.promises.insert(content.promises.begin(), {shard, at});
    content.promises.front().count = 36;
    content.promises.front().hash = 37;
    content.unfollows = {{shard}};
    content.released = {{shard, at}};
    content.reserves = {
        {shard, 20, 21, 22ms, true, true, {helpers::target_id{23}, helpers::target_id{24}}}};
    content.reserves.front().hints = {helpers::chat_key{38}, helpers::chat_key{39}, true};
    content.grants = {{shard, 25, helpers::target_id{26}, at, 27, 28, true}};
    content.no_capacity = {{shard, 29, true, true}};
    content.finishes = {{shard, 30, admission::release::result::cancelled, 31us, true}};
    content.witnesses = {{shard, record}};
    content.witness_replies = {{shard, helpers::router_id{32}, 33, true}};
    content.witness_drops = {{shard, helpers::router_id{34}, 35}};
    return content;
}

} // namespace

TEST_CASE("a decoded message of the share leases equals the encoded one") {
    const auto encoded = wire::encode_shares(make_message());
    const auto decoded = wire::decode_shares(encoded).value();
    CHECK(wire::encode_shares(decoded) == encoded);
    CHECK(decoded.sender.value == 11);
    CHECK(decoded.promises.at(0).count == 36);
    CHECK(decoded.promises.at(0).hash == 37);
    CHECK_FALSE(decoded.promises.at(0).registers);
    CHECK(decoded.promises.at(1).registers);
    CHECK(decoded.promises.at(1).records.at(1).remaining == 700ms);
    CHECK(decoded.promises.at(1).encumbered == 17ms);
    CHECK(decoded.reserves.at(0).candidates.at(1).value == 24);
    CHECK(decoded.reserves.at(0).hints.key.value == 38);
    CHECK(decoded.reserves.at(0).hints.conversation.value == 39);
    CHECK(decoded.reserves.at(0).hints.from_backlog);
    CHECK(decoded.grants.at(0).time == at);
    CHECK(decoded.finishes.at(0).first_byte == 31us);
    CHECK(decoded.witnesses.at(0).record.requester.value == 1);
    CHECK(decoded.witness_replies.at(0).accepted);
    CHECK(decoded.challenges.at(0).register_again);
}

TEST_CASE("each message of one request stays near a hundred bytes") {
    const ownership::shard_id shard{13};
    ownership::share_message reserve;
    reserve.reserves = {{shard, 20, 21, 22ms, true, false, {helpers::target_id{23}}}};
    ownership::share_message grant;
    grant.grants = {{shard, 25, helpers::target_id{26}, at, 27, 28, false}};
    ownership::share_message finish;
    finish.finishes = {{shard, 30, admission::release::result::success, 31us, false}};
    CHECK(wire::encode_shares(reserve).size() <= 128);
    CHECK(wire::encode_shares(grant).size() <= 112);
    CHECK(wire::encode_shares(finish).size() <= 88);
}

TEST_CASE("mutated messages of the share leases are decoded or rejected") {
    kernel::random_source random(6);
    const auto original = wire::encode_shares(make_message());
    int rejected = 0;
    for (int round = 0; round < 20'000; ++round) {
        auto mutated = original;
        for (int i = 0; i < 3; ++i)
            mutated[random.below(mutated.size())] = static_cast<std::uint8_t>(random.next());
        rejected += wire::decode_shares(mutated) ? 0 : 1;
    }
    CHECK(rejected > 1000);
}
