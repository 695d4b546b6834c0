// Dispatches the calls of the object API and manages the watches.
#include "standins/platform/platform.hpp"

#include "standins/platform/query.hpp"

#include <nlohmann/json.hpp>

namespace samphirespool::standins {

namespace {

using json = nlohmann::json;

constexpr std::string_view objects_path = "/v1/objects/";
constexpr std::string_view list_path = "/v1/objects";
constexpr std::string_view watch_path = "/v1/watch/";
constexpr std::string_view vms_path = "/v1/vms";
constexpr std::uint64_t max_watch_ms = 60'000;

std::string version_body(std::uint64_t version) {
    return json{{"version", version}}.dump();
}

std::string object_key(const http::server_request& wanted, std::string_view prefix) {
    return percent_decode(wanted.path.substr(prefix.size()));
}

// Starts a response that is never finished: the connection breaks when the exchange is destroyed.
void break_connection(http::exchange& call) {
    call.begin(200, {});
}

std::optional<fault_mode> mode_of(std::string_view name) {
    static const std::map<std::string_view, fault_mode> names{
        {"up", fault_mode::up},
        {"down", fault_mode::down},
        {"slow", fault_mode::slow},
        {"lost_answers", fault_mode::lost_answers},
    };
    const auto found = names.find(name);
    return found == names.end() ? std::nullopt : std::optional(found->second);
}

} // namespace

// Of two prefixes of a method, the longer comes first, since the first match is used.
const platform::route platform::routes[] = {
    {"GET", objects_path, &platform::get_object, &call_counters::reads, false},
    {"PUT", objects_path, &platform::put_object, &call_counters::writes, true},
    {"DELETE", objects_path, &platform::delete_object, &call_counters::writes, true},
    {"GET", list_path, &platform::list_objects, &call_counters::lists, false},
    {"GET", watch_path, nullptr, &call_counters::watches, false},
    {"GET", vms_path, &platform::list_vms, &call_counters::vm_lists, false},
};

platform::platform(kernel::loop& loop, const platform_settings& settings)
    : loop(loop),
      settings(settings),
      vms_document(R"({"vms":[]})"),
      write_limit(settings.writes_per_second),
      read_limit(settings.reads_per_second),
      alive(std::make_shared<bool>(true)) {}

platform::~platform() {
    for (const auto& each : this->watchers)
        this->loop.cancel(each.timer);
}

const platform::route* platform::find_route(const http::server_request& wanted) const {
    for (const auto& each : routes)
        if (each.method == wanted.method && wanted.path.starts_with(each.prefix))
            return &each;
    return nullptr;
}

void platform::handle(std::unique_ptr<http::exchange> call) {
    if (this->handle_control(*call))
        return;
    const auto* target = this->find_route(call->request());
    if (target == nullptr) {
        call->respond(404, {}, "{}");
        return;
    }
    ++(this->counts.*target->counter);
    this->handle_store_call(*target, std::move(call));
}

void platform::handle_store_call(const route& target, std::unique_ptr<http::exchange> call) {
    std::shared_ptr<http::exchange> shared = std::move(call);
    auto& limit = target.is_write ? this->write_limit : this->read_limit;
    if (!limit.allow(this->loop.time().now())) {
        shared->respond(429, {}, "{}");
        return;
    }
    const auto outcome = this->faults.next();
    if (outcome == call_outcome::rejected) {
        shared->respond(503, {}, "{}");
        return;
    }
    if (outcome == call_outcome::lost_before_effect) {
        break_connection(*shared);
        return;
    }
    if (target.run == nullptr) {
        this->start_watch(std::move(shared));
        return;
    }
    auto result = (this->*target.run)(shared->request());
    if (outcome == call_outcome::replied)
        this->send_reply(std::move(shared), std::move(result));
    else
        break_connection(*shared);
}

void platform::send_reply(std::shared_ptr<http::exchange> call, reply result) {
    const auto respond = [call = std::move(call), result = std::move(result)] {
        call->respond(result.status, {{"content-type", "application/json"}}, result.body);
    };
    const auto delay = this->faults.delay();
    if (delay == helpers::duration::zero())
        respond();
    else
        this->loop.schedule(delay, respond);
}

platform::reply platform::object_reply(std::string_view key, const stored_object& found) const {
    const json document{{"key", key}, {"version", found.version}, {"value", found.value}};
    return {200, document.dump()};
}

platform::reply platform::get_object(const http::server_request& wanted) {
    const auto key = object_key(wanted, objects_path);
    const auto* found = this->objects.find(key);
    return found == nullptr ? reply{404, "{}"} : this->object_reply(key, *found);
}

platform::reply platform::put_object(const http::server_request& wanted) {
    const auto document = json::parse(wanted.body, nullptr, false);
    if (!document.is_object() || !document.contains("value") || !document["value"].is_string())
        return {400, "{}"};
    auto value = document["value"].get<std::string>();
    if (value.size() > this->settings.max_value_bytes)
        return {413, "{}"};
    const auto key = object_key(wanted, objects_path);
    const auto result =
        this->objects.put(key, query_number(wanted.query, "if_version"), std::move(value));
    if (result.status == update_status::conflict)
        return {409, version_body(result.version)};
    this->notify(key);
    return {200, version_body(result.version)};
}

platform::reply platform::delete_object(const http::server_request& wanted) {
    const auto key = object_key(wanted, objects_path);
    const auto result = this->objects.remove(key, query_number(wanted.query, "if_version"));
    if (result.status == update_status::not_found)
        return {404, "{}"};
    if (result.status == update_status::conflict)
        return {409, version_body(result.version)};
    return {200, version_body(result.version)};
}

platform::reply platform::list_objects(const http::server_request& wanted) {
    auto listed = json::array();
    const auto prefix = query_value(wanted.query, "prefix").value_or("");
    this->objects.visit(prefix, [&](const std::string& key, const stored_object& found) {
        listed.push_back({{"key", key}, {"version", found.version}});
    });
    return {200, json{{"objects", std::move(listed)}}.dump()};
}

platform::reply platform::list_vms(const http::server_request&) {
    return {200, this->vms_document};
}

void platform::start_watch(std::shared_ptr<http::exchange> call) {
    const auto wanted = call->request();
    const auto key = object_key(wanted, watch_path);
    const auto after = query_number(wanted.query, "after").value_or(0);
    const auto* found = this->objects.find(key);
    if (found != nullptr && found->version > after) {
        this->send_reply(std::move(call), this->object_reply(key, *found));
        return;
    }
    const auto wait = std::min(query_number(wanted.query, "wait_ms").value_or(0), max_watch_ms);
    const auto added = this->watchers.insert(this->watchers.end(), {key, after, call, 0});
    added->timer = this->loop.schedule(std::chrono::milliseconds(wait), [this, added] {
        this->end_watch(added, {204, ""});
    });
    call->on_disconnected([this, added, token = std::weak_ptr<bool>(this->alive)] {
        if (token.expired())
            return;
        this->loop.cancel(added->timer);
        // The exchange runs this callback itself, so it must outlive the call.
        this->loop.post([keep_alive = added->call] {});
        this->watchers.erase(added);
    });
}

void platform::end_watch(watchers_list::iterator which, reply result) {
    this->loop.cancel(which->timer);
    auto call = std::move(which->call);
    this->watchers.erase(which);
    call->on_disconnected([] {});
    this->send_reply(std::move(call), std::move(result));
}

void platform::notify(std::string_view key) {
    const auto* found = this->objects.find(key);
    for (auto at = this->watchers.begin(); at != this->watchers.end();) {
        const auto each = at++;
        if (each->key == key && found->version > each->after)
            this->end_watch(each, this->object_reply(key, *found));
    }
}

void platform::reject_watches() {
    while (!this->watchers.empty())
        this->end_watch(this->watchers.begin(), {503, "{}"});
}

bool platform::handle_control(http::exchange& call) {
    const auto wanted = call.request();
    if (!wanted.path.starts_with("/control/"))
        return false;
    if (wanted.path == "/control/counters" && wanted.method == "GET") {
        const json document{{"reads", this->counts.reads},
                            {"writes", this->counts.writes},
                            {"lists", this->counts.lists},
                            {"watches", this->counts.watches},
                            {"vm_lists", this->counts.vm_lists}};
        call.respond(200, {}, document.dump());
        return true;
    }
    auto accepted = false;
    if (wanted.path == "/control/faults" && wanted.method == "PUT")
        accepted = this->set_faults(wanted.body);
    if (wanted.path == "/control/vms" && wanted.method == "PUT") {
        const auto document = json::parse(wanted.body, nullptr, false);
        accepted = document.is_object() && document.contains("vms") && document["vms"].is_array();
        if (accepted)
            this->vms_document = document.dump();
    }
    call.respond(accepted ? 200 : 400, {}, "{}");
    return true;
}

bool platform::set_faults(std::string_view body) {
    const auto document = json::parse(body, nullptr, false);
    if (!document.is_object())
        return false;
    try {
        const auto mode = mode_of(document.value("mode", "up"));
        if (!mode)
            return false;
        const std::chrono::milliseconds delay(document.value("delay_ms", std::int64_t{0}));
        this->faults.set({*mode, delay, document.value("lost_share", 1.0),
                          document.value("seed", std::uint64_t{1})});
    } catch (const json::exception&) {
        return false;
    }
    if (this->faults.is_down())
        this->reject_watches();
    return true;
}

} // namespace samphirespool::standins
