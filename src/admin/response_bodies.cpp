// Writes the response bodies as JSON.
#include "admin/response_bodies.hpp"

#include "config/documents.hpp"

#include <array>
#include <nlohmann/json.hpp>

namespace samphirespool::admin {

namespace {

using json = nlohmann::json;

std::string dump(const json& value) {
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

struct change_status_row {
    config::change_status status;
    std::string_view name;
    int http_status;
    std::string_view message;
};

constexpr std::array<change_status_row, 6> change_statuses{{
    {config::change_status::accepted, "accepted", 200,
     "The change is stored and comes into force on every router within seconds."},
    {config::change_status::in_effect_not_durable, "in_effect_not_durable", 202,
     "The mark is obeyed at once by every router that can be reached, but is not stored: it is "
     "lost "
     "if every router restarts before the store returns. Repeat it with the same request_id once "
     "the store is back."},
    {config::change_status::conflict, "conflict", 409,
     "The configuration is not at if_version. Nothing was changed; read it again before you "
     "retry."},
    {config::change_status::invalid, "invalid", 422, "Nothing was changed; see the faults."},
    {config::change_status::not_accepted, "not_accepted", 503,
     "The store rejected the change or cannot be reached. Nothing was changed."},
    {config::change_status::unknown, "unknown", 504,
     "The store's reply was lost: the change may be in force. Repeat it with the same request_id "
     "to learn the outcome; a repeat is not applied twice."},
}};

constexpr bool is_table_in_order() {
    for (std::size_t i = 0; i < change_statuses.size(); ++i)
        if (change_statuses[i].status != static_cast<config::change_status>(i))
            return false;
    return true;
}

static_assert(is_table_in_order(), "the table must follow the order of change_status");

json to_json(std::span<const kernel::error> faults) {
    auto result = json::array();
    for (const auto& fault : faults)
        result.push_back(fault.detail);
    return result;
}

json to_json(const member_status& member) {
    return {{"name", member.name},
            {"peer_address", helpers::to_string(member.peer_address)},
            {"data_centre", member.data_centre},
            {"region", member.region},
            {"state", member.state},
            {"incarnation", member.incarnation},
            {"configuration_version", member.configuration_version}};
}

json to_json(const target_status& target) {
    return {{"name", target.name},
            {"service", target.service},
            {"vm", target.vm},
            {"data_centre", target.data_centre},
            {"region", target.region},
            {"address", helpers::to_string(target.address)},
            {"incarnation", target.incarnation},
            {"eligible", target.eligible},
            {"reason", target.reason},
            {"warm", target.warm},
            {"capacity", target.capacity},
            {"in_flight", target.in_flight},
            {"own_in_flight", target.own_in_flight},
            {"reported_load", target.reported_load},
            {"owner", target.owner}};
}

json to_json(std::string_view name, const config::mark& mark) {
    const bool leaving = mark.state == config::mark_state::leaving;
    return {{"name", name}, {"state", leaving ? "leaving" : "returning"}, {"since", mark.since}};
}

json to_json(const std::map<std::string, config::mark, std::less<>>& marks) {
    auto result = json::array();
    for (const auto& [name, mark] : marks)
        result.push_back(to_json(name, mark));
    return result;
}

// Joins documents that `write` returns as JSON text.
template <class Document>
std::string list_json(std::string_view name, const config::fleet_configuration& configuration,
                      const std::map<std::string, Document, std::less<>>& documents,
                      std::string (*write)(const Document&)) {
    std::string body;
    for (const auto& [key, document] : documents) {
        if (!body.empty())
            body.push_back(',');
        body.append(write(document));
    }
    return "{\"version\":" + std::to_string(configuration.version) + ",\"" + std::string(name) +
           "\":[" + body + "]}";
}

} // namespace

std::string_view to_string(config::change_status status) {
    return change_statuses.at(static_cast<std::size_t>(status)).name;
}

change_response make_change_response(const config::change_result& result,
                                     std::string_view request_id) {
    const auto& row = change_statuses.at(static_cast<std::size_t>(result.status));
    const json body{{"status", row.name},
                    {"version", result.version},
                    {"request_id", request_id},
                    {"message", row.message},
                    {"faults", to_json(result.faults)}};
    return {row.http_status, dump(body)};
}

std::string status_json(const router_status& status,
                        const config::fleet_configuration* configuration) {
    json body{{"name", status.name},
              {"data_centre", status.data_centre},
              {"region", status.region},
              {"software_version", status.software_version},
              {"incarnation", status.incarnation},
              {"uptime_ms", status.uptime / std::chrono::milliseconds(1)},
              {"ready", status.ready},
              {"shutting_down", status.shutting_down},
              {"store_reachable", status.store_reachable},
              {"requests_in_flight", status.requests_in_flight},
              {"requests_queued", status.requests_queued},
              {"members_alive", status.members_alive},
              {"roster_version", status.roster_version},
              {"configuration_version", nullptr},
              {"preset_in_force", nullptr}};
    if (configuration != nullptr) {
        body["configuration_version"] = configuration->version;
        body["preset_in_force"] = configuration->preset_in_force;
    }
    return dump(body);
}

std::string members_json(std::span<const member_status> members) {
    auto list = json::array();
    for (const auto& member : members)
        list.push_back(to_json(member));
    return dump({{"members", list}});
}

std::string targets_json(std::span<const target_status> targets, std::string_view service) {
    auto list = json::array();
    for (const auto& target : targets)
        if (service.empty() || target.service == service)
            list.push_back(to_json(target));
    return dump({{"targets", list}});
}

std::string organisations_json(const config::fleet_configuration& configuration,
                               const page& requested) {
    const auto& organisations = configuration.organisations;
    auto next = organisations.upper_bound(requested.after);
    std::string list;
    std::string last;
    for (std::size_t count = 0; count < requested.limit && next != organisations.end();
         ++count, ++next) {
        if (!list.empty())
            list.push_back(',');
        list.append(config::write_organisation(next->second));
        last = next->first;
    }
    const auto next_page = next == organisations.end() ? json(nullptr) : json(last);
    return "{\"version\":" + std::to_string(configuration.version) + ",\"organisations\":[" + list +
           "],\"next\":" + dump(next_page) + "}";
}

std::string services_json(const config::fleet_configuration& configuration) {
    return list_json("services", configuration, configuration.services, config::write_service);
}

std::string presets_json(const config::fleet_configuration& configuration) {
    return list_json("presets", configuration, configuration.presets, config::write_preset);
}

std::string preset_in_force_json(const config::fleet_configuration& configuration) {
    return dump({{"version", configuration.version}, {"name", configuration.preset_in_force}});
}

std::string marks_json(const config::fleet_configuration& configuration) {
    return dump({{"version", configuration.version},
                 {"data_centres", to_json(configuration.data_centre_marks)},
                 {"vms", to_json(configuration.vm_marks)}});
}

std::string mark_json(std::string_view name, const config::mark& mark,
                      config::configuration_version version) {
    auto body = to_json(name, mark);
    body["version"] = version;
    return dump(body);
}

std::string check_json(std::span<const kernel::error> faults) {
    return dump({{"valid", faults.empty()}, {"faults", to_json(faults)}});
}

} // namespace samphirespool::admin
