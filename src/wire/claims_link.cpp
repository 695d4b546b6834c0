// Encodes and sends messages about claims, and decodes received ones.
#include "wire/claims_link.hpp"

#include "wire/generated/claims_generated.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace samphirespool::wire {

namespace {

std::uint32_t to_milliseconds(helpers::duration from) {
    const auto ms = from / std::chrono::milliseconds(1);
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(ms, 0, std::numeric_limits<std::uint32_t>::max()));
}

std::vector<std::uint8_t> finish(flatbuffers::FlatBufferBuilder& out, fb::claims_body type,
                                 flatbuffers::Offset<void> body) {
    out.Finish(fb::Createclaims_frame(out, type, body));
    return {out.GetBufferPointer(), out.GetBufferPointer() + out.GetSize()};
}

std::optional<claims_message> read(const fb::claim_call& from) {
    if (from.action() > static_cast<std::uint8_t>(claims::claim_action::release))
        return std::nullopt;
    claims::claim_call result;
    result.action = static_cast<claims::claim_action>(from.action());
    result.shard = from.shard();
    result.request = {{from.router()}, {from.life()}, from.sequence()};
    result.key = {from.key_high(), from.key_low()};
    result.key_date = from.key_date_ms();
    result.fingerprint = from.fingerprint();
    result.remaining = std::chrono::milliseconds(from.remaining_ms());
    return result;
}

std::optional<claims_message> read(const fb::claim_reply& from) {
    if (from.verdict() > static_cast<std::uint8_t>(claims::claim_verdict::unavailable))
        return std::nullopt;
    return claims::call_reply{{{from.router()}, {from.life()}, from.sequence()},
                              static_cast<claims::claim_verdict>(from.verdict())};
}

} // namespace

std::vector<std::uint8_t> encode(const claims::claim_call& call) {
    flatbuffers::FlatBufferBuilder out;
    const auto body = fb::Createclaim_call(
        out, static_cast<std::uint8_t>(call.action), call.shard, call.request.router.value,
        call.request.incarnation.value, call.request.sequence, call.key.high, call.key.low,
        call.key_date, call.fingerprint, to_milliseconds(call.remaining));
    return finish(out, fb::claims_body::claim_call, body.Union());
}

std::vector<std::uint8_t> encode(const claims::call_reply& reply) {
    flatbuffers::FlatBufferBuilder out;
    const auto body =
        fb::Createclaim_reply(out, reply.request.router.value, reply.request.incarnation.value,
                              reply.request.sequence, static_cast<std::uint8_t>(reply.verdict));
    return finish(out, fb::claims_body::claim_reply, body.Union());
}

std::optional<claims_message> decode_claims(std::span<const std::uint8_t> payload) {
    flatbuffers::Verifier verifier(payload.data(), payload.size());
    if (!fb::Verifyclaims_frameBuffer(verifier))
        return std::nullopt;
    const auto& frame = *fb::Getclaims_frame(payload.data());
    if (const auto* call = frame.body_as_claim_call())
        return read(*call);
    if (const auto* reply = frame.body_as_claim_reply())
        return read(*reply);
    return std::nullopt;
}

claims_link::claims_link(peer_transport& transport) : transport(transport) {
    transport.set_receiver(frame_kind::claims,
                           [this](const auto& from, std::span<const std::uint8_t> payload) {
                               this->receive(from, payload);
                           });
}

void claims_link::receive(const helpers::endpoint& from, std::span<const std::uint8_t> payload) {
    const auto message = decode_claims(payload);
    if (!message) {
        ++this->dropped_count;
        return;
    }
    const auto* call = std::get_if<claims::claim_call>(&*message);
    if (call != nullptr && this->call_handler)
        this->call_handler(from, *call);
    const auto* reply = std::get_if<claims::call_reply>(&*message);
    if (reply != nullptr && this->reply_handler)
        this->reply_handler(*reply);
}

void claims_link::send(const helpers::endpoint& to, const claims::claim_call& call) {
    this->transport.send(to, frame_kind::claims, encode(call));
}

void claims_link::send(const helpers::endpoint& to, const claims::call_reply& reply) {
    this->transport.send(to, frame_kind::claims, encode(reply));
}

void claims_link::set_call_handler(
    std::function<void(const helpers::endpoint&, const claims::claim_call&)> handler) {
    this->call_handler = std::move(handler);
}

void claims_link::set_reply_handler(std::function<void(const claims::call_reply&)> handler) {
    this->reply_handler = std::move(handler);
}

} // namespace samphirespool::wire
