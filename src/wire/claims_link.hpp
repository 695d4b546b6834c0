// Carries calls and replies about claims between routers, as FlatBuffers.
#pragma once

#include "claims/claim_network.hpp"
#include "wire/peer_transport.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <variant>
#include <vector>

namespace samphirespool::wire {

using claims_message = std::variant<claims::claim_call, claims::call_reply>;

std::vector<std::uint8_t> encode(const claims::claim_call& call);
std::vector<std::uint8_t> encode(const claims::call_reply& reply);

// Returns nothing if the payload fails the verifier or if its body type or an enum value is
// unknown.
std::optional<claims_message> decode_claims(std::span<const std::uint8_t> payload);

class claims_link final : public claims::claim_network {
public:
    explicit claims_link(peer_transport& transport);
    void send(const helpers::endpoint& to, const claims::claim_call& call) override;
    void send(const helpers::endpoint& to, const claims::call_reply& reply) override;
    void set_call_handler(
        std::function<void(const helpers::endpoint&, const claims::claim_call&)> handler) override;
    void set_reply_handler(std::function<void(const claims::call_reply&)> handler) override;

    // Payloads that could not be decoded.
    std::uint64_t dropped() const { return this->dropped_count; }

private:
    void receive(const helpers::endpoint& from, std::span<const std::uint8_t> payload);

    peer_transport& transport;
    std::function<void(const helpers::endpoint&, const claims::claim_call&)> call_handler;
    std::function<void(const claims::call_reply&)> reply_handler;
    std::uint64_t dropped_count = 0;
};

} // namespace samphirespool::wire
