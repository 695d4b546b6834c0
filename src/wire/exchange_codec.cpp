// Encodes and decodes the messages of the load exchange.
#include "wire/exchange_codec.hpp"

#include "wire/generated/exchange_generated.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace samphirespool::wire {

namespace {

// States in a message that a target names no limit any more.
constexpr double no_limit = -1;
// Feeds of the first release, which rejects reports with another number of revisions.
constexpr std::size_t first_release_feeds = 4;
// Entries of a histogram beyond this number are ignored.
constexpr std::size_t max_durations = 64;
// Longer ages are sent as this one.
constexpr std::uint32_t max_age_ms = 3'600'000;

std::uint32_t to_ms(helpers::duration interval) {
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(interval).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, max_age_ms));
}

// Counts above the field's maximum are sent as the maximum; receivers treat both alike.
std::uint16_t saturate_uint16(std::uint32_t count) {
    return static_cast<std::uint16_t>(
        std::min<std::uint32_t>(count, std::numeric_limits<std::uint16_t>::max()));
}

std::vector<fb::target_count> to_wire(const exchange::target_counts& counts) {
    std::vector<fb::target_count> result;
    result.reserve(counts.size());
    for (const auto& count : counts)
        result.emplace_back(count.incarnation_hash, saturate_uint16(count.in_flight),
                            saturate_uint16(count.results.responses),
                            saturate_uint16(count.results.failures),
                            saturate_uint16(count.same_data_centre.responses),
                            saturate_uint16(count.same_data_centre.failures));
    return result;
}

// Empty text is not written.
flatbuffers::Offset<flatbuffers::String> write_text(flatbuffers::FlatBufferBuilder& builder,
                                                    const std::string& text) {
    return text.empty() ? 0 : builder.CreateString(text);
}

std::string read_text(const flatbuffers::String* text) {
    return text == nullptr ? std::string() : text->str();
}

using wire_counts = flatbuffers::Vector<const fb::target_count*>;

exchange::target_counts from_wire(const wire_counts* counts) {
    exchange::target_counts result;
    if (counts == nullptr)
        return result;
    result.reserve(counts->size());
    for (const auto* count : *counts)
        result.push_back({count->target(),
                          count->requests(),
                          {count->answers(), count->failures()},
                          {count->near_answers(), count->near_failures()}});
    return result;
}

std::vector<fb::crash_evidence> to_wire(const admission::crash_evidence_list& evidence) {
    std::vector<fb::crash_evidence> result;
    result.reserve(evidence.size());
    for (const auto& each : evidence)
        result.emplace_back(each.suspect, each.incarnation_hash, to_ms(each.age), each.generation,
                            each.depth, each.failed_trials, each.is_quarantined, each.had_begun);
    return result;
}

using wire_evidence = flatbuffers::Vector<const fb::crash_evidence*>;

admission::crash_evidence_list from_wire(const wire_evidence* evidence) {
    admission::crash_evidence_list result;
    if (evidence == nullptr)
        return result;
    result.reserve(evidence->size());
    for (const auto* each : *evidence)
        result.push_back({each->suspect(), each->generation(), each->is_quarantined(),
                          each->target(), each->depth(), each->failed_trials(), each->had_begun(),
                          std::chrono::milliseconds(each->age_ms())});
    return result;
}

std::vector<fb::target_limit> to_wire(const admission::target_limit_list& limits) {
    std::vector<fb::target_limit> result;
    result.reserve(limits.size());
    for (const auto& each : limits)
        result.emplace_back(each.incarnation_hash, to_ms(each.age),
                            static_cast<float>(each.per_second.value_or(no_limit)));
    return result;
}

admission::target_limit_list from_wire(const flatbuffers::Vector<const fb::target_limit*>* limits) {
    admission::target_limit_list result;
    if (limits == nullptr)
        return result;
    result.reserve(limits->size());
    for (const auto* each : *limits) {
        auto& added = result.emplace_back();
        added.incarnation_hash = each->target();
        added.age = std::chrono::milliseconds(each->age_ms());
        if (std::isfinite(each->per_second()) && each->per_second() >= 0)
            added.per_second = each->per_second();
    }
    return result;
}

std::vector<fb::target_speed> to_wire(const admission::target_speed_list& speeds) {
    std::vector<fb::target_speed> result;
    result.reserve(speeds.size());
    for (const auto& each : speeds)
        result.emplace_back(each.incarnation_hash, saturate_uint16(each.percent),
                            saturate_uint16(to_ms(each.age)));
    return result;
}

admission::target_speed_list from_wire(const flatbuffers::Vector<const fb::target_speed*>* speeds) {
    admission::target_speed_list result;
    if (speeds == nullptr)
        return result;
    result.reserve(speeds->size());
    for (const auto* each : *speeds)
        result.push_back(
            {each->target(), each->percent(), std::chrono::milliseconds(each->age_ms())});
    return result;
}

std::vector<fb::stream_origin> to_wire(const exchange::stream_origin_list& origins) {
    std::vector<fb::stream_origin> result;
    result.reserve(origins.size());
    for (const auto& each : origins)
        result.emplace_back(each.attempt, each.software);
    return result;
}

exchange::stream_origin_list
from_wire(const flatbuffers::Vector<const fb::stream_origin*>* origins) {
    exchange::stream_origin_list result;
    if (origins == nullptr)
        return result;
    result.reserve(origins->size());
    for (const auto* each : *origins)
        result.push_back({each->attempt(), each->software()});
    return result;
}

template <class Table>
using wire_tables = flatbuffers::Vector<flatbuffers::Offset<Table>>;

// An empty list is not written, so that messages outside of rollouts are as before.
flatbuffers::Offset<wire_tables<fb::rollout_row>>
write_rows(flatbuffers::FlatBufferBuilder& builder, const exchange::rollout_row_list& rows) {
    if (rows.empty())
        return 0;
    std::vector<flatbuffers::Offset<fb::rollout_row>> result;
    result.reserve(rows.size());
    for (const auto& row : rows)
        result.push_back(fb::Createrollout_row(builder, row.service, row.order, row.target,
                                               row.route, row.answered, row.failed,
                                               builder.CreateVector(row.durations)));
    return builder.CreateVector(result);
}

exchange::rollout_row_list read_rows(const wire_tables<fb::rollout_row>* rows) {
    exchange::rollout_row_list result;
    if (rows == nullptr)
        return result;
    result.reserve(rows->size());
    for (const auto* row : *rows) {
        auto& added = result.emplace_back();
        added = {row->service(),
                 row->order(),
                 row->target(),
                 row->route(),
                 row->answered(),
                 row->failed(),
                 {}};
        if (const auto* durations = row->durations())
            added.durations.assign(durations->begin(),
                                   durations->begin() +
                                       std::min<std::size_t>(durations->size(), max_durations));
    }
    return result;
}

flatbuffers::Offset<wire_tables<fb::rollout_directive>>
write_directives(flatbuffers::FlatBufferBuilder& builder,
                 const exchange::rollout_directive_list& directives) {
    if (directives.empty())
        return 0;
    std::vector<flatbuffers::Offset<fb::rollout_directive>> result;
    result.reserve(directives.size());
    for (const auto& each : directives)
        result.push_back(fb::Createrollout_directive(builder, each.service, each.order, each.phase,
                                                     to_ms(each.left), to_ms(each.age)));
    return builder.CreateVector(result);
}

exchange::rollout_directive_list
read_directives(const wire_tables<fb::rollout_directive>* directives) {
    exchange::rollout_directive_list result;
    if (directives == nullptr)
        return result;
    result.reserve(directives->size());
    for (const auto* each : *directives)
        result.push_back({each->service(), each->order(), each->phase(),
                          std::chrono::milliseconds(each->left_ms()),
                          std::chrono::milliseconds(each->age_ms())});
    return result;
}

flatbuffers::Offset<fb::feed_news> write_update(flatbuffers::FlatBufferBuilder& builder,
                                                const exchange::feed_update& update) {
    std::vector<flatbuffers::Offset<fb::feed_change>> changes;
    flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>> names;
    const bool has_all_names = update.difference && update.difference->all_names;
    if (update.difference)
        for (const auto& change : update.difference->changes)
            changes.push_back(fb::Createfeed_change(builder, builder.CreateString(change.name),
                                                    builder.CreateString(change.content),
                                                    change.is_removed, change.revision));
    if (has_all_names)
        names = builder.CreateVectorOfStrings(*update.difference->all_names);
    return fb::Createfeed_news(
        builder, static_cast<std::uint8_t>(update.collection), to_ms(update.age),
        update.position.revision, update.difference.has_value() && !has_all_names,
        builder.CreateVector(changes), names, static_cast<std::uint32_t>(update.position.era));
}

void write(flatbuffers::FlatBufferBuilder& builder, const exchange::report& content) {
    const auto first_later = content.revisions.begin() + first_release_feeds;
    const std::vector<std::uint64_t> revisions(content.revisions.begin(), first_later);
    const auto later_count =
        std::max(content.known_feeds, first_release_feeds) - first_release_feeds;
    const std::vector<std::uint64_t> later(first_later, first_later + later_count);
    const auto revisions_at = builder.CreateVector(revisions);
    const auto later_at = builder.CreateVector(later);
    const auto loads_at = builder.CreateVectorOfStructs(to_wire(content.loads));
    const auto evidence_at = builder.CreateVectorOfStructs(to_wire(content.evidence));
    const auto limits_at = builder.CreateVectorOfStructs(to_wire(content.limits));
    const auto origins_at = builder.CreateVectorOfStructs(to_wire(content.origins));
    const auto speeds_at = builder.CreateVectorOfStructs(to_wire(content.speeds));
    const auto wanted_at = builder.CreateVector(content.wanted_origins);
    const auto services_at = builder.CreateVector(content.wanted_services);
    const auto rows_at = write_rows(builder, content.rollout_rows);
    const auto directives_at = write_directives(builder, content.rollout_directives);
    const auto configuration_at = write_text(builder, content.configuration);
    const auto report = fb::Createexchange_report(
        builder, content.round, content.for_group, revisions_at, loads_at, !content.wants_updates,
        evidence_at, later_at, limits_at, origins_at, wanted_at,
        static_cast<std::uint32_t>(content.era), services_at, rows_at, directives_at, speeds_at,
        content.configuration_version, configuration_at);
    builder.Finish(fb::Createexchange_message(builder, report));
}

void write(flatbuffers::FlatBufferBuilder& builder, const exchange::reply& content) {
    std::vector<flatbuffers::Offset<fb::feed_news>> feeds;
    for (const auto& update : content.feeds)
        feeds.push_back(write_update(builder, update));
    const auto feeds_at = builder.CreateVector(feeds);
    const auto loads_at = builder.CreateVectorOfStructs(to_wire(content.loads));
    const auto evidence_at = builder.CreateVectorOfStructs(to_wire(content.evidence));
    const auto limits_at = builder.CreateVectorOfStructs(to_wire(content.limits));
    const auto origins_at = builder.CreateVectorOfStructs(to_wire(content.origins));
    const auto directives_at = write_directives(builder, content.rollout_directives);
    const auto speeds_at = builder.CreateVectorOfStructs(to_wire(content.speeds));
    const auto configuration_at = write_text(builder, content.configuration);
    const auto reply = fb::Createexchange_answer(builder, content.round, feeds_at, loads_at,
                                                 content.max_unlisted_in_flight, evidence_at,
                                                 limits_at, origins_at, 0, directives_at, speeds_at,
                                                 configuration_at, content.wants_configuration);
    builder.Finish(fb::Createexchange_message(builder, 0, reply));
}

exchange::feed_difference read_difference(const fb::feed_news& from) {
    exchange::feed_difference result;
    if (from.changes() != nullptr)
        for (const auto* change : *from.changes())
            result.changes.push_back({change->name()->str(),
                                      change->content() == nullptr ? "" : change->content()->str(),
                                      change->is_removed(), change->revision()});
    if (from.all_names() == nullptr)
        return result;
    result.all_names.emplace();
    for (const auto* name : *from.all_names())
        result.all_names->push_back(name->str());
    return result;
}

exchange::feed_update read_update(const fb::feed_news& from) {
    exchange::feed_update update;
    update.collection = static_cast<discovery::collection>(from.collection());
    update.age = std::chrono::milliseconds(from.age_ms());
    update.position = {from.era(), from.revision()};
    if (from.is_complete() || from.all_names() != nullptr)
        update.difference = read_difference(from);
    return update;
}

std::optional<exchange_message> read_report(const fb::exchange_report& from) {
    exchange::report result;
    result.round = from.round();
    result.for_group = from.for_group();
    result.wants_updates = !from.skips_updates();
    result.era = from.era();
    if (from.revisions() == nullptr || from.revisions()->size() != first_release_feeds)
        return std::nullopt;
    std::copy(from.revisions()->begin(), from.revisions()->end(), result.revisions.begin());
    result.known_feeds = first_release_feeds;
    if (from.later_revisions() != nullptr)
        for (const auto revision : *from.later_revisions())
            if (result.known_feeds < exchange::feed_count)
                result.revisions.at(result.known_feeds++) = revision;
    result.loads = from_wire(from.loads());
    result.evidence = from_wire(from.evidence());
    result.limits = from_wire(from.limits());
    result.speeds = from_wire(from.speeds());
    result.origins = from_wire(from.origins());
    if (from.wanted_origins() != nullptr)
        result.wanted_origins.assign(from.wanted_origins()->begin(), from.wanted_origins()->end());
    if (from.wanted_services() != nullptr)
        result.wanted_services.assign(from.wanted_services()->begin(),
                                      from.wanted_services()->end());
    result.rollout_rows = read_rows(from.rollout_rows());
    result.rollout_directives = read_directives(from.rollout_directives());
    result.configuration_version = from.configuration_version();
    result.configuration = read_text(from.configuration());
    return result;
}

std::optional<exchange_message> read_reply(const fb::exchange_answer& from) {
    exchange::reply result;
    result.round = from.round();
    result.max_unlisted_in_flight = from.unlisted_at_most();
    result.loads = from_wire(from.loads());
    result.evidence = from_wire(from.evidence());
    result.limits = from_wire(from.limits());
    result.speeds = from_wire(from.speeds());
    result.origins = from_wire(from.origins());
    result.rollout_directives = read_directives(from.rollout_directives());
    result.configuration = read_text(from.configuration());
    result.wants_configuration = from.wants_configuration();
    if (from.feeds() == nullptr)
        return result;
    // A later release may have feeds that are unknown here.
    for (const auto* feed : *from.feeds())
        if (feed->collection() < exchange::feed_count)
            result.feeds.push_back(read_update(*feed));
    return result;
}

} // namespace

bytes encode_exchange(const exchange_message& content) {
    flatbuffers::FlatBufferBuilder builder;
    std::visit([&builder](const auto& message) { write(builder, message); }, content);
    return {builder.GetBufferPointer(), builder.GetBufferPointer() + builder.GetSize()};
}

std::optional<exchange_message> decode_exchange(std::span<const std::uint8_t> payload) {
    flatbuffers::Verifier verifier(payload.data(), payload.size());
    if (!fb::Verifyexchange_messageBuffer(verifier))
        return std::nullopt;
    const auto* table = fb::Getexchange_message(payload.data());
    if (table->report() != nullptr)
        return read_report(*table->report());
    if (table->answer() != nullptr)
        return read_reply(*table->answer());
    return std::nullopt;
}

} // namespace samphirespool::wire
