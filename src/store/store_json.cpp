// Reads and writes the bodies with nlohmann's JSON library.
#include "store/store_json.hpp"

#include <nlohmann/json.hpp>

namespace samphirespool::store {

namespace {

using json = nlohmann::json;

// Runs the reader on the parsed body; any missing or mistyped field yields nothing.
template <class Reader>
auto parse_with(std::string_view body, Reader read)
    -> std::optional<decltype(read(std::declval<const json&>()))> {
    try {
        return read(json::parse(body));
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

helpers::target_entry read_target(const json& from) {
    helpers::target_entry result;
    result.name = from.at("name").get<std::string>();
    result.service = from.at("service").get<std::string>();
    result.address.ip = from.at("ip").get<std::string>();
    result.address.port = from.at("port").get<std::uint16_t>();
    result.incarnation = from.value("incarnation", std::uint64_t{0});
    return result;
}

helpers::vm_entry read_vm(const json& from) {
    helpers::vm_entry result;
    result.name = from.at("name").get<std::string>();
    result.data_centre = from.at("data_centre").get<std::string>();
    result.region = from.at("region").get<std::string>();
    result.leaving = from.value("leaving", false);
    if (from.contains("targets"))
        for (const auto& each : from.at("targets"))
            result.targets.push_back(read_target(each));
    return result;
}

json write_target(const helpers::target_entry& from) {
    return {{"name", from.name},
            {"service", from.service},
            {"ip", from.address.ip},
            {"port", from.address.port},
            {"incarnation", from.incarnation}};
}

} // namespace

std::string write_put_body(std::string_view value) {
    return json{{"value", value}}.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<object> parse_object(std::string_view body) {
    return parse_with(body, [](const json& from) {
        return object{from.at("key").get<std::string>(), from.at("version").get<object_version>(),
                      from.at("value").get<std::string>()};
    });
}

std::optional<object_version> parse_version(std::string_view body) {
    return parse_with(body,
                      [](const json& from) { return from.at("version").get<object_version>(); });
}

std::optional<std::vector<object>> parse_object_list(std::string_view body) {
    return parse_with(body, [](const json& from) {
        std::vector<object> result;
        for (const auto& each : from.at("objects"))
            result.push_back(
                {each.at("key").get<std::string>(), each.at("version").get<object_version>(), ""});
        return result;
    });
}

std::optional<std::vector<helpers::vm_entry>> parse_vm_list(std::string_view body) {
    return parse_with(body, [](const json& from) {
        std::vector<helpers::vm_entry> result;
        for (const auto& each : from.at("vms"))
            result.push_back(read_vm(each));
        return result;
    });
}

std::string write_vm_list(const std::vector<helpers::vm_entry>& vms) {
    auto listed = json::array();
    for (const auto& each : vms) {
        auto targets = json::array();
        for (const auto& target : each.targets)
            targets.push_back(write_target(target));
        listed.push_back({{"name", each.name},
                          {"data_centre", each.data_centre},
                          {"region", each.region},
                          {"leaving", each.leaving},
                          {"targets", std::move(targets)}});
    }
    return json{{"vms", std::move(listed)}}.dump();
}

} // namespace samphirespool::store
