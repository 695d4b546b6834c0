// Tests of the administration API: access, every outcome of a change, conditional changes, paging
// and the audit trail.
#include "admin/admin_handler.hpp"
#include "admin/admin_server.hpp"
#include "config/changes.hpp"
#include "config/checks.hpp"
#include "config/documents.hpp"
#include "http/caller_memory.hpp"
#include "tests/http/loopback.hpp"
#include "tests/store/fake_exchange.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace samphirespool;
using nlohmann::json;

namespace {

// Applies changes to a configuration in memory. The outcome can be forced, and the completion can
// be deferred until the test runs it.
class fake_configuration final : public config::configuration_service {
public:
    std::shared_ptr<const config::fleet_configuration> current() const override {
        return this->in_force;
    }
    const std::vector<helpers::vm_entry>& vms() const override { return this->no_vms; }
    void on_change(std::function<void()>) override {}

    void change(config::change_request request,
                std::function<void(config::change_result)> done) override {
        this->last_request = request;
        if (this->defer_completion) {
            this->deferred_completion = std::move(done);
            return;
        }
        if (this->forced)
            return done({*this->forced, this->in_force->version, {}});
        if (request.if_version != 0 && request.if_version != this->in_force->version)
            return done({config::change_status::conflict, this->in_force->version, {}});
        auto applied = config::apply(*this->in_force, request.body, 77);
        if (!applied.changed)
            return done({config::change_status::invalid, this->in_force->version, applied.faults});
        ++applied.changed->version;
        this->in_force =
            std::make_shared<const config::fleet_configuration>(std::move(*applied.changed));
        done({config::change_status::accepted, this->in_force->version, {}});
    }

    std::shared_ptr<const config::fleet_configuration> in_force;
    std::optional<config::change_status> forced;
    config::change_request last_request;
    bool defer_completion = false;
    std::function<void(config::change_result)> deferred_completion;

private:
    std::vector<helpers::vm_entry> no_vms;
};

class fake_fleet final : public admin::status_provider {
public:
    admin::router_status status() const override { return {.name = "r1", .ready = true}; }
    std::vector<admin::member_status> members() const override {
        return {{.name = "r2", .peer_address = {"10.0.0.2", 7}, .state = "alive"}};
    }
    std::vector<admin::target_status> targets() const override {
        return {{.name = "e1", .service = "quotes"}, {.name = "s1", .service = "orders"}};
    }
};

// Stores each event as JSON.
struct recording_sink final : kernel::event_sink {
    void write(kernel::severity, std::string_view name, const std::optional<helpers::request_id>&,
               std::initializer_list<kernel::event_field> fields) override {
        json event{{"event", name}};
        for (const auto& field : fields)
            std::visit([&](const auto& value) { event[std::string(field.name)] = value; },
                       field.value);
        this->events.push_back(std::move(event));
    }

    std::vector<json> events;
};

struct admin_fixture {
    admin_fixture() {
        auto initial = config::initial_configuration();
        initial.version = 5;
        this->configuration.in_force =
            std::make_shared<const config::fleet_configuration>(std::move(initial));
    }

    tests::recorded_response send(std::string method, const std::string& target,
                                  std::string body = "", const std::string& token = "write") {
        tests::recorded_response response;
        this->handler.handle(std::make_unique<tests::fake_exchange>(
            std::move(method), target, std::move(body), response,
            http::header_list{{"authorization", "Bearer " + token}}));
        return response;
    }

    json send_json(std::string method, const std::string& target, std::string body = "") {
        return json::parse(this->send(std::move(method), target, std::move(body)).body);
    }

    kernel::manual_clock time;
    debug::metrics metrics{time};
    kernel::random_source random{1};
    fake_configuration configuration;
    fake_fleet fleet;
    recording_sink events;
    admin::admin_handler handler{
        {configuration, fleet, metrics, events, random},
        {{"ann", admin::token_hash("read"), settings::admin_role::reader},
         {"bob", admin::token_hash("write"), settings::admin_role::operator_role}}};
};

} // namespace

TEST_CASE_FIXTURE(admin_fixture,
                  "only a valid token gives access, and the reader role allows no changes") {
    CHECK(admin::token_hash("example") ==
          "50d858e0985ecc7f60418aaf0cc5ab587f42c2570a884095a9e8ccacd0f6545c");
    for (const auto* wrong : {"", "wrong", "write ", "rea"})
        CHECK(this->send("GET", "/admin/v1/status", "", wrong).status == 401);
    CHECK(this->send("GET", "/admin/v1/status", "", "read").status == 200);
    CHECK(this->send("PUT", "/admin/v1/preset", R"({"name":"peak"})", "read").status == 403);
    CHECK(this->configuration.in_force->version == 5);
    CHECK(this->events.events.back().at("event") == "admin.denied");
    CHECK(this->events.events.back().at("who") == "ann");
    admin::admin_handler without_tokens({configuration, fleet, metrics, events, random}, {});
    tests::recorded_response response;
    without_tokens.handle(std::make_unique<tests::fake_exchange>(
        "GET", "/admin/v1/status", "", response, http::header_list{{"authorization", "Bearer "}}));
    CHECK(response.status == 401);
}

TEST_CASE_FIXTURE(admin_fixture,
                  "a change is conditional, audited and identified by its request id") {
    const auto stale = this->send("PUT", "/admin/v1/preset?if_version=4", R"({"name":"peak"})");
    CHECK(stale.status == 409);
    CHECK(json::parse(stale.body).at("version") == 5);
    const auto response = this->send("PUT", "/admin/v1/preset",
                                     R"({"name":"peak","if_version":5,"request_id":"op-1"})");
    CHECK(response.status == 200);
    CHECK(json::parse(response.body).at("request_id") == "op-1");
    CHECK(this->configuration.last_request.operator_name == "bob");
    const auto audit = this->events.events.back();
    CHECK(audit.at("who") == "bob");
    CHECK(audit.at("what") == "PUT /admin/v1/preset");
    CHECK(audit.at("from_version") == 5);
    CHECK(audit.at("to_version") == 6);
    CHECK(audit.at("result") == "accepted");
    CHECK(this->send_json("GET", "/admin/v1/preset").at("name") == "peak");
    const auto first = this->send_json("PUT", "/admin/v1/preset", R"({"name":"peak"})");
    const auto second = this->send_json("PUT", "/admin/v1/preset", R"({"name":"peak"})");
    CHECK(first.at("request_id") != second.at("request_id"));
    CHECK(this->send("PUT", "/admin/v1/preset?if_version=x", R"({"name":"peak"})").status == 400);
    CHECK(this->send("PUT", "/admin/v1/preset?request_id=a%20b", R"({"name":"a"})").status == 400);
}

TEST_CASE_FIXTURE(admin_fixture,
                  "each outcome of a change has its own status and explains what is guaranteed") {
    const auto status_of = [&](config::change_status outcome) {
        this->configuration.forced = outcome;
        return this->send("PUT", "/admin/v1/marks/vms/vm-1", R"({"state":"leaving"})");
    };
    const auto volatile_mark = status_of(config::change_status::in_effect_not_durable);
    CHECK(volatile_mark.status == 202);
    CHECK(volatile_mark.body.find("lost if every router restarts") != std::string::npos);
    CHECK(status_of(config::change_status::not_accepted).status == 503);
    const auto unknown = status_of(config::change_status::unknown);
    CHECK(unknown.status == 504);
    CHECK(unknown.body.find("same request_id") != std::string::npos);
    CHECK(this->events.events.back().at("result") == "unknown");
}

TEST_CASE_FIXTURE(admin_fixture,
                  "a document with faults changes nothing, and the response lists all of them") {
    const auto response = this->send("PUT", "/admin/v1/organisations/kandy",
                                     R"({"weight":"many","colour":1,"api_key_hash":2})");
    CHECK(response.status == 422);
    CHECK(json::parse(response.body).at("faults").size() == 3);
    for (const auto* body : {"{", "[]", "\xff", R"({"name":"other","api_key_hash":"00"})"})
        CHECK(this->send("PUT", "/admin/v1/organisations/kandy", body).status == 422);
    CHECK(this->send("PUT", "/admin/v1/marks/vms/v", R"({"state":"gone"})").status == 422);
    CHECK(this->send("PUT", "/admin/v1/preset", R"({"name":"feast"})").status == 422);
    CHECK(this->send("PUT", "/admin/v1/preset", R"({"if_version":"x","name":"peak"})").status ==
          422);
    CHECK(this->configuration.in_force->version == 5);
    CHECK(this->events.events.back().at("result") == "invalid");
}

TEST_CASE_FIXTURE(admin_fixture, "documents and marks can be put, read in pages and removed") {
    for (int i = 0; i < 5; ++i) {
        const auto name = "org-" + std::to_string(i);
        const json body{{"api_key_hash", admin::token_hash(name)}};
        REQUIRE(this->send("PUT", "/admin/v1/organisations/" + name, body.dump()).status == 200);
    }
    const auto page = this->send_json("GET", "/admin/v1/organisations?limit=2&after=org-1");
    CHECK(page.at("organisations").size() == 2);
    CHECK(page.at("organisations")[0].at("name") == "org-2");
    CHECK(page.at("next") == "org-3");
    CHECK(this->send_json("GET", "/admin/v1/organisations?after=org-3").at("next").is_null());
    CHECK(this->send("GET", "/admin/v1/organisations?limit=1001").status == 400);
    CHECK(this->send("DELETE", "/admin/v1/organisations/org-0").status == 200);
    CHECK(this->send("GET", "/admin/v1/organisations/org-0").status == 404);
    const std::string mark = "/admin/v1/marks/data-centres/lk-a";
    CHECK(this->send("GET", mark).status == 404);
    CHECK(this->send("PUT", mark, R"({"state":"leaving"})").status == 200);
    CHECK(this->send_json("GET", mark).at("state") == "leaving");
    CHECK(this->send_json("GET", "/admin/v1/marks").at("data_centres").size() == 1);
    CHECK(this->send("PUT", "/admin/v1/services/quotes", R"({"models":["m"]})").status == 200);
    CHECK(this->send_json("GET", "/admin/v1/services").at("services")[0].at("name") == "quotes");
    CHECK(this->send("PUT", "/admin/v1/presets/peak", R"({"limit_factor":2})").status == 200);
    CHECK(this->send_json("GET", "/admin/v1/presets").at("presets").size() == 3);
}

TEST_CASE_FIXTURE(admin_fixture, "the whole configuration can be checked, exported and imported") {
    const auto exported = this->send("GET", "/admin/v1/configuration").body;
    CHECK(this->send("POST", "/admin/v1/configuration/check", exported).status == 200);
    auto changed = json::parse(exported);
    changed["preset_in_force"] = "feast";
    const auto rejected = this->send("POST", "/admin/v1/configuration/check", changed.dump());
    CHECK(rejected.status == 422);
    CHECK(json::parse(rejected.body).at("valid") == false);
    changed["preset_in_force"] = "maintenance";
    CHECK(this->send("PUT", "/admin/v1/configuration?if_version=5", changed.dump()).status == 200);
    CHECK(this->configuration.in_force->preset_in_force == "maintenance");
    CHECK(this->send("PUT", "/admin/v1/configuration?if_version=5", changed.dump()).status == 409);
}

TEST_CASE_FIXTURE(
    admin_fixture,
    "status calls respond, unknown calls get 404, and calls before the first configuration 503") {
    CHECK(this->send_json("GET", "/admin/v1/status").at("configuration_version") == 5);
    CHECK(this->send_json("GET", "/admin/v1/members").at("members")[0].at("peer_address") ==
          "10.0.0.2:7");
    CHECK(this->send_json("GET", "/admin/v1/targets?service=orders").at("targets").size() == 1);
    this->metrics.make_counter({"some_total", "Some."}).add(3);
    CHECK(this->send("GET", "/metrics").body.find("some_total 3") != std::string::npos);
    for (const auto* path :
         {"/", "/admin/v1", "/admin/v1/organisations/", "/admin/v1/marks/vms/a/b"})
        CHECK(this->send("GET", path).status == 404);
    CHECK(this->send("PATCH", "/admin/v1/preset").status == 404);
    this->configuration.in_force = nullptr;
    CHECK(this->send("GET", "/admin/v1/preset").status == 503);
    CHECK(this->send_json("GET", "/admin/v1/status").at("configuration_version").is_null());
}

TEST_CASE_FIXTURE(admin_fixture,
                  "a change that completes later is still audited and its result returned") {
    this->configuration.defer_completion = true;
    tests::recorded_response response;
    this->handler.handle(std::make_unique<tests::fake_exchange>(
        "PUT", "/admin/v1/preset", R"({"name":"peak"})", response,
        http::header_list{{"authorization", "Bearer write"}}));
    CHECK_FALSE(response.status);
    CHECK(this->events.events.empty());
    auto complete = std::exchange(this->configuration.deferred_completion, nullptr);
    complete({config::change_status::accepted, 9, {}});
    complete = nullptr;
    CHECK(response.status == 200);
    CHECK(this->events.events.back().at("to_version") == 9);
}

TEST_CASE_FIXTURE(admin_fixture, "the operators' server serves the API over TCP") {
    http::event_loop loop;
    http::caller_memory memory(0, loop.time());
    settings::router_settings server_settings;
    server_settings.admin_listen = {"127.0.0.1", 0};
    server_settings.admin_tokens = {
        {"bob", admin::token_hash("write"), settings::admin_role::reader}};
    admin::admin_server server(loop, server_settings,
                               {configuration, fleet, metrics, events, random}, memory.account());
    kernel::error reason;
    REQUIRE(server.listen(reason));
    http::h2o_client client(loop, {});
    tests::recording_listener response;
    http::client_request request;
    request.to = {"127.0.0.1", server.port()};
    request.path = "/admin/v1/preset";
    request.headers = {{"authorization", "Bearer write"}};
    const auto call = client.start(request, response);
    tests::run_until(loop, [&] { return response.ended(); });
    CHECK(response.status == 200);
    CHECK(json::parse(response.body).at("name") == "ordinary");
    server_settings.admin_tls = settings::tls_settings{"/nonexistent/crt", "/nonexistent/key"};
    admin::admin_server with_missing_keys(
        loop, server_settings, {configuration, fleet, metrics, events, random}, memory.account());
    CHECK_FALSE(with_missing_keys.listen(reason));
    CHECK(reason.detail.find("/nonexistent/crt") != std::string::npos);
}
