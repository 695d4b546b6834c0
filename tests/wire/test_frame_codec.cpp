// Tests of the frame codec: signatures, replay, rotation of keys, and mutated input.
#include "kernel/random.hpp"
#include "wire/frame_codec.hpp"

#include <doctest/doctest.h>

#include <array>

using namespace samphirespool;

namespace {

const helpers::endpoint receiver_address{"10.0.0.2", 7000};
const std::vector<std::string> new_and_old_key = {"000102030405060708090a0b0c0d0e0f",
                                                  "f0f1f2f3f4f5f6f7f8f9fafbfcfdfeff"};

wire::frame_signer make_signer(std::vector<std::string> hex) {
    return wire::frame_signer(wire::parse_fleet_keys(hex).value());
}

struct connection {
    explicit connection(const wire::frame_signer& sender, const wire::frame_signer& receiver,
                        std::uint8_t session = 1)
        : opened_with{session},
          encoder(sender, this->opened_with, receiver_address),
          decoder(
              receiver, this->opened_with, receiver_address,
              [this](const wire::received_frame& frame) {
                  this->payloads.emplace_back(frame.payload.begin(), frame.payload.end());
              },
              [this](wire::frame_fault fault) { ++this->faults[static_cast<int>(fault)]; }) {}

    wire::bytes encode(const wire::bytes& payload) {
        wire::bytes output;
        this->encoder.append(output, wire::frame_kind::shares, {5, 6}, payload);
        return output;
    }

    int faults_of(wire::frame_fault fault) const { return this->faults[static_cast<int>(fault)]; }

    wire::challenge opened_with;
    wire::frame_encoder encoder;
    wire::frame_decoder decoder;
    std::vector<wire::bytes> payloads;
    std::array<int, wire::frame_fault_count> faults{};
};

} // namespace

TEST_CASE("frames arrive in order over any split of the stream") {
    const auto signer = make_signer(new_and_old_key);
    connection link(signer, signer);
    auto stream = link.encode({1, 2, 3});
    const auto second = link.encode({});
    stream.insert(stream.end(), second.begin(), second.end());
    wire::bytes pending;
    for (const auto byte : stream) {
        pending.push_back(byte);
        const auto taken = link.decoder.consume(pending);
        pending.erase(pending.begin(), pending.begin() + static_cast<long>(taken));
    }
    CHECK(pending.empty());
    CHECK(link.payloads == std::vector<wire::bytes>{{1, 2, 3}, {}});
}

TEST_CASE("both keys of a rotation are accepted and an unknown one is not") {
    const auto both = make_signer(new_and_old_key);
    const auto old_only = make_signer({new_and_old_key[1]});
    const auto foreign = make_signer({"99999999999999999999999999999999"});
    connection from_old(old_only, both);
    from_old.decoder.consume(from_old.encode({1}));
    CHECK(from_old.payloads.size() == 1);
    connection from_foreign(foreign, both);
    from_foreign.decoder.consume(from_foreign.encode({1}));
    CHECK(from_foreign.payloads.empty());
    CHECK(from_foreign.faults_of(wire::frame_fault::wrong_key) == 1);
}

TEST_CASE("a frame replayed on the same or another connection is refused") {
    const auto signer = make_signer(new_and_old_key);
    connection link(signer, signer, 1);
    connection other(signer, signer, 2);
    const auto frame = link.encode({7});
    link.decoder.consume(frame);
    link.decoder.consume(frame);
    other.decoder.consume(frame);
    CHECK(link.payloads.size() == 1);
    CHECK(other.payloads.empty());
    CHECK(link.faults_of(wire::frame_fault::replayed) == 1);
    CHECK(other.faults_of(wire::frame_fault::replayed) == 1);
}

TEST_CASE("a frame meant for another router is refused") {
    const auto signer = make_signer(new_and_old_key);
    connection link(signer, signer);
    wire::frame_encoder elsewhere(signer, link.opened_with, {"10.0.0.3", 7000});
    wire::bytes output;
    elsewhere.append(output, wire::frame_kind::shares, {}, wire::bytes{1});
    link.decoder.consume(output);
    CHECK(link.payloads.empty());
    CHECK(link.faults_of(wire::frame_fault::wrong_key) == 1);
}

TEST_CASE("oversized and truncated frames are counted and end the connection's reading") {
    const auto signer = make_signer(new_and_old_key);
    connection link(signer, signer);
    link.decoder.consume(wire::bytes{0xff, 0xff, 0xff, 0x7f, 1});
    CHECK(link.decoder.broken());
    CHECK(link.faults_of(wire::frame_fault::oversized) == 1);
    connection cut(signer, signer);
    auto frame = cut.encode({1, 2, 3});
    frame.pop_back();
    CHECK(cut.decoder.consume(frame) == 0);
    cut.decoder.end(frame.size());
    CHECK(cut.faults_of(wire::frame_fault::truncated) == 1);
}

TEST_CASE("malformed fleet keys are refused") {
    const auto parse = [](std::vector<std::string> hex) { return wire::parse_fleet_keys(hex); };
    CHECK_FALSE(parse({}));
    CHECK_FALSE(parse({"0011"}));
    CHECK_FALSE(parse({"zz0102030405060708090a0b0c0d0e0f"}));
    CHECK_FALSE(parse({new_and_old_key[0], new_and_old_key[1], new_and_old_key[0]}));
}

// A mutated frame may pass only if the mutation left it as it was.
TEST_CASE("none of 100,000 mutated frames is accepted") {
    constexpr int rounds = 100'000;
    kernel::random_source random(20260);
    const auto signer = make_signer(new_and_old_key);
    int accepted = 0;
    int counted = 0;
    int waiting = 0;
    for (int round = 0; round < rounds; ++round) {
        connection link(signer, signer);
        wire::bytes payload(random.below(64));
        for (auto& byte : payload)
            byte = static_cast<std::uint8_t>(random.next());
        const auto original = link.encode(payload);
        auto mutated = original;
        const auto changes = 1 + random.below(4);
        for (std::uint64_t i = 0; i < changes; ++i)
            mutated[random.below(mutated.size())] ^= static_cast<std::uint8_t>(random.next());
        if (random.below(4) == 0)
            mutated.resize(random.below(mutated.size()));
        if (mutated == original)
            mutated.back() ^= 1;
        const auto taken = link.decoder.consume(mutated);
        link.decoder.end(mutated.size() - taken);
        accepted += static_cast<int>(link.payloads.size());
        for (const auto faults : link.faults)
            counted += faults;
        waiting += mutated.empty() ? 1 : 0;
    }
    CHECK(accepted == 0);
    CHECK(counted >= rounds - waiting);
}
