// Keys, their dates, and the JSON form of heads and snapshots.
#include "claims/claim_record.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace samphirespool::claims {

namespace {

using json = nlohmann::json;

constexpr int head_format = 1;
constexpr std::size_t date_digits = 13;
constexpr std::size_t uuid_characters = 36;
constexpr std::size_t uuid_version_place = 14;

std::optional<helpers::wall_milliseconds> parse_number(std::string_view text, int base) {
    helpers::wall_milliseconds value = 0;
    const auto* last = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), last, value, base);
    if (parsed.ec != std::errc{} || parsed.ptr != last || value < 0)
        return std::nullopt;
    return value;
}

// The first 48 bits of a UUID of version 7 are its milliseconds.
std::optional<helpers::wall_milliseconds> date_of_uuid(std::string_view text) {
    if (text.size() != uuid_characters || text[uuid_version_place] != '7' || text[8] != '-' ||
        text[13] != '-')
        return std::nullopt;
    return parse_number(std::string(text.substr(0, 8)) + std::string(text.substr(9, 4)), 16);
}

json record_to_json(const claim_record& from) {
    return json::array({from.key.high, from.key.low, from.fingerprint, from.request.router.value,
                        from.request.incarnation.value, from.request.sequence,
                        static_cast<int>(from.state), from.date, from.order});
}

claim_record record_from_json(const json& from) {
    claim_record result;
    result.key = {from.at(0).get<std::uint64_t>(), from.at(1).get<std::uint64_t>()};
    result.fingerprint = from.at(2).get<std::uint64_t>();
    result.request = {{from.at(3).get<std::uint64_t>()},
                      {from.at(4).get<std::uint64_t>()},
                      from.at(5).get<std::uint64_t>()};
    const auto state = std::clamp(from.at(6).get<int>(), 0, 2);
    result.state = static_cast<claim_state>(state);
    result.date = from.at(7).get<helpers::wall_milliseconds>();
    result.order = from.at(8).get<std::uint64_t>();
    return result;
}

json records_to_json(const std::vector<claim_record>& records) {
    auto result = json::array();
    for (const auto& each : records)
        result.push_back(record_to_json(each));
    return result;
}

std::vector<claim_record> records_from_json(const json& from) {
    std::vector<claim_record> result;
    for (const auto& each : from)
        result.push_back(record_from_json(each));
    return result;
}

snapshot_reference reference_from_json(const json& from) {
    return {from.at(0).get<std::string>(),   from.at(1).get<std::uint64_t>(),
            from.at(2).get<std::uint64_t>(), from.at(3).get<std::uint64_t>(),
            from.at(4).get<std::uint32_t>(), from.at(5).get<helpers::wall_milliseconds>()};
}

} // namespace

claim_key key_of(helpers::organisation_id organisation, std::string_view text) {
    const auto scoped = std::to_string(organisation.value) + "/" + std::string(text);
    return {helpers::hash_name("high/" + scoped), helpers::hash_name("low/" + scoped)};
}

std::optional<helpers::wall_milliseconds> date_of(std::string_view text) {
    if (const auto date = date_of_uuid(text))
        return date;
    const auto digits = text.substr(0, text.find('-'));
    if (digits.size() != date_digits || digits.size() == text.size())
        return std::nullopt;
    return parse_number(digits, 10);
}

std::string write_head(const journal_head& head) {
    auto snapshots = json::array();
    for (const auto& each : head.snapshots)
        snapshots.push_back(json::array({each.name, each.version, each.first_order, each.last_order,
                                         each.count, each.newest_date}));
    return json{{"format", head_format},
                {"writer", head.writer},
                {"nonce", head.nonce},
                {"floor", head.floor},
                {"next_order", head.next_order},
                {"recent", records_to_json(head.recent)},
                {"snapshots", std::move(snapshots)}}
        .dump();
}

std::optional<journal_head> parse_head(std::string_view text) {
    try {
        const auto from = json::parse(text);
        if (from.at("format").get<int>() != head_format)
            return std::nullopt;
        journal_head result;
        result.writer = from.at("writer").get<std::string>();
        result.nonce = from.at("nonce").get<std::uint64_t>();
        result.floor = from.at("floor").get<helpers::wall_milliseconds>();
        result.next_order = from.at("next_order").get<std::uint64_t>();
        result.recent = records_from_json(from.at("recent"));
        for (const auto& each : from.at("snapshots"))
            result.snapshots.push_back(reference_from_json(each));
        return result;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

std::string write_records(const std::vector<claim_record>& records) {
    return records_to_json(records).dump();
}

std::optional<std::vector<claim_record>> parse_records(std::string_view text) {
    try {
        return records_from_json(json::parse(text));
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace samphirespool::claims
