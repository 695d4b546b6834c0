// Implementation with nlohmann's JSON library.
#include "store/store_json.hpp"

#include <nlohmann/json.hpp>

namespace samphirespool::store {

namespace {

using json = nlohmann::json;

// Applies the reader to the parsed body. Returns nothing if the body is malformed or a field is
// missing or mistyped.
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
        for (const auto& target : from.at("targets"))
            result.targets.push_back(read_target(target));
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
        for (const auto& entry : from.at("objects"))
            result.push_back({entry.at("key").get<std::string>(),
                              entry.at("version").get<object_version>(), ""});
        return result;
    });
}

std::optional<std::vector<helpers::vm_entry>> parse_vm_list(std::string_view body) {
    return parse_with(body, [](const json& from) {
        std::vector<helpers::vm_entry> result;
        for (const auto& vm : from.at("vms"))
            result.push_back(read_vm(vm));
        return result;
    });
}

std::string write_vm_list(const std::vector<helpers::vm_entry>& vms) {
    auto listed = json::array();
    for (const auto& vm : vms) {
        auto targets = json::array();
        for (const auto& target : vm.targets)
            targets.push_back(write_target(target));
        listed.push_back({{"name", vm.name},
                          {"data_centre", vm.data_centre},
                          {"region", vm.region},
                          {"leaving", vm.leaving},
                          {"targets", std::move(targets)}});
    }
    return json{{"vms", std::move(listed)}}.dump();
}

} // namespace samphirespool::store
