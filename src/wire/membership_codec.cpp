// Encodes and decodes the messages of the failure detector.
#include "wire/membership_codec.hpp"

#include "wire/generated/membership_generated.h"
#include "wire/payload_check.hpp"

namespace samphirespool::wire {

namespace {

// Highest values that are accepted.
constexpr auto last_type = membership::message_type::roster_ack;
constexpr auto last_state = membership::member_state::leaving;
constexpr auto last_health = membership::member_health::left;

flatbuffers::Offset<fb::member_record> encode_record(flatbuffers::FlatBufferBuilder& builder,
                                                     const membership::member_record& record) {
    const auto name = builder.CreateString(record.name);
    const auto address = builder.CreateString(helpers::to_string(record.address));
    const auto data_centre = builder.CreateString(record.data_centre);
    const auto region = builder.CreateString(record.region);
    return fb::Createmember_record(builder, record.id.value, name, address, data_centre, region,
                                   record.incarnation.value, record.sequence,
                                   static_cast<std::uint8_t>(record.state),
                                   static_cast<std::uint8_t>(record.health));
}

std::optional<membership::member_record> decode_record(const fb::member_record& encoded) {
    auto address = helpers::parse_endpoint(encoded.address()->string_view());
    if (!address || encoded.state() > static_cast<std::uint8_t>(last_state) ||
        encoded.health() > static_cast<std::uint8_t>(last_health))
        return std::nullopt;
    membership::member_record record;
    record.id.value = encoded.id();
    record.name = encoded.name()->str();
    record.address = std::move(*address);
    record.data_centre = encoded.data_centre()->str();
    record.region = encoded.region()->str();
    record.incarnation.value = encoded.life();
    record.sequence = encoded.sequence();
    record.state = static_cast<membership::member_state>(encoded.state());
    record.health = static_cast<membership::member_health>(encoded.health());
    return record;
}

} // namespace

bytes encode_membership(const membership::message& content) {
    flatbuffers::FlatBufferBuilder builder(512);
    std::vector<flatbuffers::Offset<fb::member_record>> records;
    for (const auto& update : content.updates)
        records.push_back(encode_record(builder, update));
    flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<fb::member_record>>> updates;
    if (!records.empty())
        updates = builder.CreateVector(records);
    flatbuffers::Offset<flatbuffers::String> target;
    if (!content.target.ip.empty())
        target = builder.CreateString(helpers::to_string(content.target));
    flatbuffers::Offset<flatbuffers::String> roster;
    if (!content.roster.empty())
        roster = builder.CreateString(content.roster);
    builder.Finish(fb::Createmembership_message(
        builder, static_cast<std::uint8_t>(content.type), content.sender.value, content.number,
        target, content.target_id.value, content.configuration, content.digest, updates, roster));
    return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
}

std::optional<membership::message> decode_membership(std::span<const std::uint8_t> payload) {
    if (!payload_is_valid(frame_kind::membership, payload))
        return std::nullopt;
    const auto& encoded = *fb::Getmembership_message(payload.data());
    if (encoded.type() > static_cast<std::uint8_t>(last_type))
        return std::nullopt;
    membership::message content;
    content.type = static_cast<membership::message_type>(encoded.type());
    content.sender.value = encoded.sender();
    content.number = encoded.number();
    content.target_id.value = encoded.target_id();
    content.configuration = encoded.configuration();
    content.digest = encoded.digest();
    if (encoded.target() != nullptr) {
        auto target = helpers::parse_endpoint(encoded.target()->string_view());
        if (!target)
            return std::nullopt;
        content.target = std::move(*target);
    }
    if (encoded.roster() != nullptr)
        content.roster = encoded.roster()->str();
    if (encoded.updates() == nullptr)
        return content;
    for (const auto* update : *encoded.updates()) {
        auto record = decode_record(*update);
        if (!record)
            return std::nullopt;
        content.updates.push_back(std::move(*record));
    }
    return content;
}

} // namespace samphirespool::wire
