// Test harness for a gateway's request path without a network: scripted targets, callers whose
// responses are recorded, and an event loop whose clock the test advances.
#pragma once

#include "gateway/proxied_request.hpp"
#include "platform/object_json.hpp"
#include "tests/discovery/fake_feed.hpp"
#include "tests/store/fake_exchange.hpp"

#include <algorithm>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace samphirespool::tests {

// One call to a target, driven by the test.
struct scripted_call {
    http::client_request request;
    http::response_listener* listener = nullptr;
    bool is_cancelled = false;
    bool is_paused = false;
    bool is_connection_discarded = false;

    std::string header(std::string_view name) const {
        return std::string(http::find_header(this->request.headers, name).value_or(""));
    }
    void connect() { this->listener->on_connected(); }
    // Sends a response head that echoes the request id and has a seal.
    void head(int status, http::header_list extra = {}) {
        extra.push_back({"x-request-id", this->header("x-request-id")});
        extra.push_back({"x-seal", "seal"});
        this->listener->on_head(status, extra);
    }
    void body(std::string_view text) { this->listener->on_body({text.data(), text.size()}); }
    void respond(int status, std::string_view text) {
        this->connect();
        this->head(status);
        this->body(text);
        this->listener->on_done();
    }
    void reject_not_run() {
        this->connect();
        this->listener->on_head(503, {{"x-not-run", "1"}});
    }
    void fail(bool maybe_sent) {
        this->listener->on_failed({kernel::error_kind::connection_lost, "reset"}, maybe_sent);
    }
};

class scripted_client final : public http::client {
public:
    std::unique_ptr<http::client_call> start(const http::client_request& request,
                                             http::response_listener& listener) override {
        this->calls.push_back({request, &listener});
        // As a target receives it.
        this->calls.back().request.body.append(request.shared_body);
        return std::make_unique<handle>(this->calls.back());
    }

    std::list<scripted_call> calls;

private:
    struct handle final : http::client_call {
        explicit handle(scripted_call& call) : call(call) {}
        ~handle() override { this->call.is_cancelled = true; }
        void pause() override { this->call.is_paused = true; }
        void resume() override { this->call.is_paused = false; }
        void discard_connection() override { this->call.is_connection_discarded = true; }
        scripted_call& call;
    };
};

// Keeps the events of a gateway's log.
class recording_sink final : public kernel::event_sink {
public:
    struct entry {
        std::string name;
        std::map<std::string, std::variant<std::int64_t, std::uint64_t, double, bool, std::string>,
                 std::less<>>
            fields;

        std::string text(std::string_view field) const {
            const auto found = this->fields.find(field);
            const auto* value =
                found == this->fields.end() ? nullptr : std::get_if<std::string>(&found->second);
            return value == nullptr ? std::string() : *value;
        }
    };

    void write(kernel::severity, std::string_view name, const std::optional<helpers::request_id>&,
               std::initializer_list<kernel::event_field> fields) override {
        auto& added = this->entries.emplace_back();
        added.name = name;
        for (const auto& each : fields)
            added.fields.emplace(each.name, each.value);
    }

    // The latest event with this name; null if there is none.
    const entry* last(std::string_view name) const {
        const auto found = std::find_if(this->entries.rbegin(), this->entries.rend(),
                                        [name](const auto& each) { return each.name == name; });
        return found == this->entries.rend() ? nullptr : &*found;
    }

    std::vector<entry> entries;
};

inline discovery::target make_target(const std::string& name, const std::string& service,
                                     const std::string& data_centre = "east",
                                     std::uint32_t slots = 8) {
    discovery::target result;
    result.name = name;
    result.service = helpers::id_of<helpers::service_id>(service);
    result.address = {"10.0.0." + std::to_string(helpers::hash_name(name) % 200 + 1), 8080};
    result.data_centre = data_centre;
    result.slots = slots;
    return result;
}

inline routing::route make_route(const std::string& name, const std::string& service) {
    routing::route route;
    route.name = name;
    route.host = "test";
    route.path_prefix = "/" + name + "/";
    route.timeout = std::chrono::seconds(10);
    route.objective = std::chrono::milliseconds(100);
    route.max_attempts = 2;
    route.services = {{helpers::id_of<helpers::service_id>(service), 1}};
    return route;
}

// Routes: /book/ (not idempotent), /look/ (idempotent), /write/ (event stream) and /talk/
// (resumable event stream), all of one service without engines. The API key "key" belongs to "org".
inline routing::configuration make_configuration() {
    routing::configuration result;
    result.version = 7;
    auto look = make_route("look", "desk");
    look.is_idempotent = true;
    auto write = make_route("write", "desk");
    write.is_streaming = true;
    auto talk = write;
    talk.path_prefix = "/talk/";
    talk.is_resumable = true;
    talk.is_idempotent = true;
    result.routes = {make_route("book", "desk"), look, write, talk};
    result.services.emplace(helpers::id_of<helpers::service_id>("desk"),
                            routing::service{"desk", "/health", 100, 0, std::nullopt});
    result.has_organisations = true;
    result.api_keys.emplace("key", routing::api_key_owner{"org", std::nullopt});
    return result;
}

class gateway_harness {
public:
    explicit gateway_harness(int targets = 3, double retry_burst = 100)
        : table(std::make_shared<const routing::route_table>(make_configuration())),
          catalog(this->events, {}),
          dispatch(this->loop, this->random, this->events, this->catalog,
                   make_settings(retry_burst)) {
        // A gateway that has run for long, alone in its fleet.
        this->dispatch.set_members({"g1"});
        this->loop.advance(std::chrono::minutes(1));
        this->dispatch.on_members_confirmed(this->loop.time().now());
        this->dispatch.set_table(this->table);
        this->target_feed.start();
        this->answer_registry();
        for (int i = 0; i < targets; ++i)
            this->catalog.update(make_target("t" + std::to_string(i), "desk"),
                                 this->loop.time().now());
    }

    struct caller {
        recorded_response response;
        std::unique_ptr<gateway::proxied_request> request;
        bool is_finished = false;
    };

    // Sends a request and runs the loop until its call has reached a target, if one is available.
    caller& send(const std::string& path, http::header_list extra = {}) {
        http::header_list headers{{"x-request-id", "id-" + std::to_string(++this->sequence)},
                                  {"x-deadline-ms", "5000"},
                                  {"authorization", "Bearer key"}};
        for (auto& field : extra) {
            std::erase_if(headers, [&](const auto& each) { return each.name == field.name; });
            headers.push_back(std::move(field));
        }
        auto& added = this->callers.emplace_back();
        added.request = std::make_unique<gateway::proxied_request>(
            this->services,
            std::make_unique<fake_exchange>("POST", path, "body", added.response, headers),
            this->table, this->loop.time().now(), this->sequence,
            [&added] { added.is_finished = true; });
        added.request->start();
        this->process_events();
        return added;
    }

    // Runs a few loop iterations and destroys finished requests, as the gateway does.
    void process_events() {
        for (int i = 0; i < 4; ++i) {
            this->loop.advance(std::chrono::nanoseconds(1));
            this->answer_registry();
        }
        for (auto& each : this->callers)
            if (each.is_finished)
                each.request.reset();
    }

    void advance(helpers::duration time) {
        this->loop.advance(time);
        this->process_events();
    }

    // The registry has nothing new to say.
    void answer_registry() {
        if (this->is_registry_reachable)
            this->registry.complete(discovery::collection::targets, page_of(1));
    }

    scripted_call& last_call() { return this->targets.calls.back(); }
    std::size_t call_count() const { return this->targets.calls.size(); }

    kernel::manual_loop loop;
    kernel::random_source random{5};
    recording_sink events;
    std::shared_ptr<const routing::route_table> table;
    discovery::target_catalog catalog;
    gateway::dispatcher dispatch;
    gateway::crash_guard crashes{this->loop, this->events, "g1"};
    exchange::stream_origins origins;
    scripted_client targets;
    gateway::relay_peers peers{"g1", this->random};
    gateway::relay_signer tickets{std::vector<wire::bytes>{wire::bytes(32, 7)}};
    gateway::header_names names;
    gateway::gateway_counters counters;
    gateway::latency_recorders latencies;
    gateway::shutdown_window shutdown{this->loop.time(), std::chrono::seconds(8)};
    admission::stream_pace stream_paces;
    admission::memory_budget memory{0};
    platform::json_object_codec codec;
    bool is_registry_reachable = true;
    fake_feed_source registry;
    recording_receiver registered;
    discovery::source_gate registry_gate{this->loop, this->random};
    discovery::feed_watch target_feed{this->loop,
                                      this->events,
                                      this->registry_gate,
                                      this->registry,
                                      this->registered,
                                      discovery::collection::targets,
                                      {}};
    gateway::request_services services{
        this->loop,    this->random,   this->events,     this->targets,  this->dispatch,
        this->crashes, this->catalog,  this->origins,    this->peers,    this->tickets,
        this->names,   this->counters, this->latencies,  this->shutdown, this->stream_paces,
        this->memory,  this->codec,    this->target_feed};
    std::list<caller> callers;
    std::uint64_t sequence = 0;

private:
    static gateway::dispatch_settings make_settings(double retry_burst) {
        gateway::dispatch_settings settings;
        settings.own_name = "g1";
        settings.data_centre = "east";
        settings.retry_limits.burst = retry_burst;
        return settings;
    }
};

} // namespace samphirespool::tests
