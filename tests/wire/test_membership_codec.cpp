// Tests of the codec for membership messages.
#include "kernel/random.hpp"
#include "wire/membership_codec.hpp"

#include <doctest/doctest.h>

using namespace samphirespool;

namespace {

membership::message make_message() {
    membership::message content;
    content.type = membership::message_type::ping_request;
    content.sender = helpers::router_id{5};
    content.number = 77;
    content.target = {"10.0.0.9", 7001};
    content.target_id = helpers::router_id{6};
    content.configuration = 12;
    content.digest = 99;
    content.roster = "text";
    content.updates.push_back({helpers::router_id{6},
                               "router-6",
                               {"10.0.0.9", 7001},
                               "dc-1",
                               "region-1",
                               helpers::incarnation{3},
                               4,
                               membership::member_state::leaving,
                               membership::member_health::suspect});
    return content;
}

} // namespace

TEST_CASE("a decoded membership message equals the encoded one") {
    const auto sent = make_message();
    const auto received = wire::decode_membership(wire::encode_membership(sent)).value();
    CHECK(received.type == sent.type);
    CHECK(received.sender == sent.sender);
    CHECK(received.number == sent.number);
    CHECK(received.target == sent.target);
    CHECK(received.target_id == sent.target_id);
    CHECK(received.configuration == sent.configuration);
    CHECK(received.digest == sent.digest);
    CHECK(received.roster == sent.roster);
    CHECK(received.updates == sent.updates);
}

// A payload behind a valid frame tag can still be malformed if the peer is faulty. Decoding it must
// not crash the process.
TEST_CASE("mutated membership payloads are decoded or rejected") {
    kernel::random_source random(5);
    const auto original = wire::encode_membership(make_message());
    int rejected = 0;
    for (int round = 0; round < 20'000; ++round) {
        auto mutated = original;
        for (int i = 0; i < 3; ++i)
            mutated[random.below(mutated.size())] = static_cast<std::uint8_t>(random.next());
        rejected += wire::decode_membership(mutated) ? 0 : 1;
    }
    CHECK(rejected > 1000);
}
