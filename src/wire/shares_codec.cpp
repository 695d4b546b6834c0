// Encodes and decodes the messages of the share leases.
#include "wire/shares_codec.hpp"

#include "wire/generated/shares_generated.h"
#include "wire/payload_check.hpp"

#include <algorithm>
#include <array>
#include <limits>

namespace samphirespool::wire {

namespace {

using namespace ownership;
using flatbuffers::FlatBufferBuilder;
using flatbuffers::Offset;
using flatbuffers::Vector;

// Size of the array in the schema. Candidates beyond it are the least preferred ones and are not
// sent.
constexpr std::size_t max_candidates = 4;
constexpr auto last_result = admission::release::result::not_sent;

template <class Unit>
std::uint32_t to_units(helpers::duration span) {
    const auto count = std::chrono::duration_cast<Unit>(span).count();
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(count, 0, std::numeric_limits<std::uint32_t>::max()));
}

std::uint32_t to_ms(helpers::duration span) {
    return to_units<std::chrono::milliseconds>(span);
}

helpers::duration from_ms(std::uint32_t count) {
    return std::chrono::milliseconds(count);
}

std::int64_t to_wire(helpers::time_point time) {
    return time.time_since_epoch().count();
}

helpers::time_point from_wire(std::int64_t nanoseconds) {
    return helpers::time_point(helpers::duration(nanoseconds));
}

fb::share_record encode_record(const outstanding_grant& record) {
    return {record.requester.value,  record.number,   record.target.value,
            record.incarnation,      record.cost,     record.allowance,
            to_ms(record.remaining), record.sponsored};
}

outstanding_grant decode_record(const fb::share_record& record) {
    return {helpers::router_id{record.requester()},
            record.number(),
            helpers::target_id{record.target()},
            record.incarnation(),
            record.cost(),
            record.allowance(),
            from_ms(record.remaining()),
            record.sponsored()};
}

// Encodes a vector of structs. An empty vector is left out of the message.
template <class Wire, class Item, class Encode>
Offset<Vector<const Wire*>> encode_structs(FlatBufferBuilder& builder,
                                           const std::vector<Item>& items, Encode encode) {
    if (items.empty())
        return {};
    std::vector<Wire> encoded;
    encoded.reserve(items.size());
    for (const auto& item : items)
        encoded.push_back(encode(item));
    return builder.CreateVectorOfStructs(encoded);
}

template <class Item>
Offset<Vector<std::uint64_t>> encode_shards(FlatBufferBuilder& builder,
                                            const std::vector<Item>& items) {
    if (items.empty())
        return {};
    std::vector<std::uint64_t> shards;
    shards.reserve(items.size());
    for (const auto& item : items)
        shards.push_back(item.shard.value);
    return builder.CreateVector(shards);
}

Offset<Vector<Offset<fb::share_promise>>> encode_promises(FlatBufferBuilder& builder,
                                                          const std::vector<promise_item>& items) {
    std::vector<Offset<fb::share_promise>> encoded;
    for (const auto& item : items) {
        if (!item.registers)
            continue;
        const auto records = encode_structs<fb::share_record>(builder, item.records, encode_record);
        encoded.push_back(fb::Createshare_promise(builder, item.shard.value, to_wire(item.time),
                                                  item.owner_incarnation.value, item.continuous,
                                                  item.has_full_history, to_ms(item.encumbered),
                                                  item.count, item.hash, records));
    }
    if (encoded.empty())
        return {};
    return builder.CreateVector(encoded);
}

fb::share_reserve encode_reserve(const reserve_item& item) {
    std::array<std::uint64_t, max_candidates> targets{};
    const auto count = std::min(item.candidates.size(), targets.size());
    for (std::size_t i = 0; i < count; ++i)
        targets[i] = item.candidates[i].value;
    return {item.shard.value,
            item.number,
            flatbuffers::span<const std::uint64_t, max_candidates>(targets),
            item.hints.key.value,
            item.hints.conversation.value,
            item.cost,
            to_ms(item.remaining),
            static_cast<std::uint8_t>(count),
            item.may_wait,
            item.sponsored,
            item.hints.from_backlog};
}

fb::share_renewal encode_renewal(const promise_item& item) {
    return {item.shard.value, to_wire(item.time), item.hash, item.count};
}

fb::share_challenge encode_challenge(const challenge_item& item) {
    return {item.shard.value, to_wire(item.time), item.load_tokens, item.warm_targets,
            item.register_again};
}

fb::share_grant encode_grant(const grant_item& item) {
    return {item.shard.value, item.number,    item.target.value, to_wire(item.time),
            item.incarnation, item.allowance, item.sponsored};
}

fb::share_finish encode_finish(const finish_item& item) {
    return {item.shard.value, item.number, to_units<std::chrono::microseconds>(item.first_byte),
            static_cast<std::uint8_t>(item.result), item.sponsored};
}

// Calls the handler for each element. A vector that was left out of the message has none.
template <class Elements, class Handler>
void for_each(const Elements* elements, Handler handler) {
    if (elements == nullptr)
        return;
    for (const auto element : *elements)
        handler(element);
}

promise_item decode_promise(const fb::share_promise& encoded) {
    promise_item item;
    item.shard.value = encoded.shard();
    item.time = from_wire(encoded.time());
    item.owner_incarnation.value = encoded.owner_life();
    item.registers = true;
    item.continuous = encoded.continuous();
    item.has_full_history = encoded.remembers();
    item.encumbered = from_ms(encoded.encumbered());
    item.count = encoded.count();
    item.hash = encoded.hash();
    for_each(encoded.records(), [&](const fb::share_record* record) {
        item.records.push_back(decode_record(*record));
    });
    return item;
}

reserve_item decode_reserve(const fb::share_reserve& encoded) {
    reserve_item item;
    item.shard.value = encoded.shard();
    item.number = encoded.number();
    item.cost = encoded.cost();
    item.remaining = from_ms(encoded.remaining());
    item.may_wait = encoded.may_wait();
    item.sponsored = encoded.sponsored();
    item.hints = {{encoded.key()}, {encoded.conversation()}, encoded.from_backlog()};
    const auto count = std::min<std::size_t>(encoded.count(), max_candidates);
    for (std::size_t i = 0; i < count; ++i)
        item.candidates.push_back({encoded.candidates()->Get(static_cast<unsigned>(i))});
    return item;
}

promise_item decode_renewal(const fb::share_renewal& encoded) {
    promise_item item;
    item.shard.value = encoded.shard();
    item.time = from_wire(encoded.time());
    item.hash = encoded.hash();
    item.count = encoded.count();
    return item;
}

void decode_leases(const fb::share_message& encoded, share_message& content) {
    for_each(encoded.follows(),
             [&](std::uint64_t shard) { content.follows.push_back({shard_id{shard}}); });
    for_each(encoded.challenges(), [&](const fb::share_challenge* item) {
        content.challenges.push_back({shard_id{item->shard()}, from_wire(item->time()),
                                      item->register_again(), item->load_tokens(),
                                      item->warm_targets()});
    });
    for_each(encoded.renewals(), [&](const fb::share_renewal* item) {
        content.promises.push_back(decode_renewal(*item));
    });
    for_each(encoded.promises(), [&](const fb::share_promise* item) {
        content.promises.push_back(decode_promise(*item));
    });
    for_each(encoded.unfollows(),
             [&](std::uint64_t shard) { content.unfollows.push_back({shard_id{shard}}); });
    for_each(encoded.released(), [&](const fb::share_released* item) {
        content.released.push_back({shard_id{item->shard()}, from_wire(item->time())});
    });
}

// Returns false if the message holds an unknown result value.
bool decode_reservations(const fb::share_message& encoded, share_message& content) {
    for_each(encoded.reserves(), [&](const fb::share_reserve* item) {
        content.reserves.push_back(decode_reserve(*item));
    });
    for_each(encoded.grants(), [&](const fb::share_grant* item) {
        content.grants.push_back({shard_id{item->shard()}, item->number(),
                                  helpers::target_id{item->target()}, from_wire(item->time()),
                                  item->incarnation(), item->allowance(), item->sponsored()});
    });
    for_each(encoded.full(), [&](const fb::share_full* item) {
        content.no_capacity.push_back(
            {shard_id{item->shard()}, item->number(), item->queued(), item->sponsored()});
    });
    bool all_valid = true;
    for_each(encoded.finishes(), [&](const fb::share_finish* item) {
        all_valid = all_valid && item->result() <= static_cast<std::uint8_t>(last_result);
        content.finishes.push_back({shard_id{item->shard()}, item->number(),
                                    static_cast<admission::release::result>(item->result()),
                                    std::chrono::microseconds(item->first_byte_us()),
                                    item->sponsored()});
    });
    return all_valid;
}

void decode_witnesses(const fb::share_message& encoded, share_message& content) {
    for_each(encoded.witnesses(), [&](const fb::share_witness* item) {
        content.witnesses.push_back({shard_id{item->shard()}, decode_record(item->record())});
    });
    for_each(encoded.witness_answers(), [&](const fb::share_witness_answer* item) {
        content.witness_replies.push_back({shard_id{item->shard()},
                                           helpers::router_id{item->requester()}, item->number(),
                                           item->accepted()});
    });
    for_each(encoded.witness_drops(), [&](const fb::share_witness_drop* item) {
        content.witness_drops.push_back(
            {shard_id{item->shard()}, helpers::router_id{item->requester()}, item->number()});
    });
}

} // namespace

bytes encode_shares(const share_message& content) {
    FlatBufferBuilder builder(256);
    const auto follows = encode_shards(builder, content.follows);
    const auto challenges =
        encode_structs<fb::share_challenge>(builder, content.challenges, encode_challenge);
    std::vector<promise_item> renewed;
    for (const auto& promise : content.promises) {
        if (!promise.registers)
            renewed.push_back(promise);
    }
    const auto renewals = encode_structs<fb::share_renewal>(builder, renewed, encode_renewal);
    const auto promises = encode_promises(builder, content.promises);
    const auto unfollows = encode_shards(builder, content.unfollows);
    const auto released = encode_structs<fb::share_released>(
        builder, content.released, [](const released_item& item) {
            return fb::share_released(item.shard.value, to_wire(item.time));
        });
    const auto reserves =
        encode_structs<fb::share_reserve>(builder, content.reserves, encode_reserve);
    const auto grants = encode_structs<fb::share_grant>(builder, content.grants, encode_grant);
    const auto full = encode_structs<fb::share_full>(
        builder, content.no_capacity, [](const no_capacity_item& item) {
            return fb::share_full(item.shard.value, item.number, item.queued, item.sponsored);
        });
    const auto finishes =
        encode_structs<fb::share_finish>(builder, content.finishes, encode_finish);
    const auto witnesses =
        encode_structs<fb::share_witness>(builder, content.witnesses, [](const witness_item& item) {
            return fb::share_witness(item.shard.value, encode_record(item.record));
        });
    const auto witness_replies = encode_structs<fb::share_witness_answer>(
        builder, content.witness_replies, [](const witness_reply_item& item) {
            return fb::share_witness_answer(item.shard.value, item.requester.value, item.number,
                                            item.accepted);
        });
    const auto witness_drops = encode_structs<fb::share_witness_drop>(
        builder, content.witness_drops, [](const witness_drop_item& item) {
            return fb::share_witness_drop(item.shard.value, item.requester.value, item.number);
        });
    builder.Finish(fb::Createshare_message(builder, content.sender.value, content.incarnation.value,
                                           challenges, renewals, reserves, grants, finishes, full,
                                           witnesses, witness_replies, witness_drops, follows,
                                           promises, unfollows, released));
    return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
}

std::optional<share_message> decode_shares(std::span<const std::uint8_t> payload) {
    if (!payload_is_valid(frame_kind::shares, payload))
        return std::nullopt;
    const auto& encoded = *fb::Getshare_message(payload.data());
    share_message content;
    content.sender.value = encoded.sender();
    content.incarnation.value = encoded.life();
    decode_leases(encoded, content);
    decode_witnesses(encoded, content);
    return decode_reservations(encoded, content) ? std::optional(std::move(content)) : std::nullopt;
}

} // namespace samphirespool::wire
