// Converts the root object to JSON and back.
#include "config/stored_root.hpp"

#include "helpers/ids.hpp"

#include <nlohmann/json.hpp>

namespace samphirespool::config {

namespace {

using json = nlohmann::json;

constexpr int root_format = 1;

json marks_to_json(const std::map<std::string, mark, std::less<>>& marks) {
    auto result = json::object();
    for (const auto& [name, entry] : marks)
        result[name] = {{"leaving", entry.state == mark_state::leaving}, {"since", entry.since}};
    return result;
}

std::map<std::string, mark, std::less<>> marks_from_json(const json& from) {
    std::map<std::string, mark, std::less<>> result;
    for (const auto& [name, entry] : from.items())
        result[name] = {entry.at("leaving").get<bool>() ? mark_state::leaving
                                                        : mark_state::returning,
                        entry.at("since").get<helpers::wall_milliseconds>()};
    return result;
}

json root_to_json(const stored_root& from) {
    return {{"format", root_format},
            {"version", from.version},
            {"writer", from.writer},
            {"nonce", from.nonce},
            {"preset_in_force", from.preset_in_force},
            {"data_centre_marks", marks_to_json(from.data_centre_marks)},
            {"vm_marks", marks_to_json(from.vm_marks)},
            {"chunks", from.chunks},
            {"recent", from.recent},
            {"settled", from.settled}};
}

stored_root root_from_json(const json& from) {
    stored_root result;
    result.version = from.at("version").get<configuration_version>();
    result.writer = from.at("writer").get<std::string>();
    result.nonce = from.at("nonce").get<std::uint64_t>();
    result.preset_in_force = from.at("preset_in_force").get<std::string>();
    result.data_centre_marks = marks_from_json(from.at("data_centre_marks"));
    result.vm_marks = marks_from_json(from.at("vm_marks"));
    result.chunks = from.at("chunks").get<std::vector<std::string>>();
    for (const auto& [id, version] : from.at("recent").items())
        result.recent[id] = version.get<configuration_version>();
    for (const auto& [name, ids] : from.at("settled").items())
        result.settled[name] = ids.get<std::vector<std::string>>();
    return result;
}

// Returns nothing if the format is unknown, a field is missing or mistyped, or the number of chunks
// is wrong.
std::optional<stored_root> root_from_checked_json(const json& from) {
    try {
        if (from.at("format").get<int>() != root_format)
            return std::nullopt;
        auto result = root_from_json(from);
        return result.chunks.size() == chunk_count ? std::optional(std::move(result))
                                                   : std::nullopt;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace

std::size_t organisation_chunk(std::string_view organisation_name) {
    return 1 + helpers::hash_name(organisation_name) % organisation_chunks;
}

std::string write_root(const stored_root& root) {
    return root_to_json(root).dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<stored_root> parse_root(std::string_view text) {
    return root_from_checked_json(json::parse(text, nullptr, false));
}

std::string diff_roots(const stored_root& from, const stored_root& to) {
    return json::diff(root_to_json(from), root_to_json(to))
        .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<stored_root> patch_root(const stored_root& from, std::string_view patch) {
    try {
        return root_from_checked_json(root_to_json(from).patch(json::parse(patch)));
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace samphirespool::config
