// The administration API: access, every answer of a change, conditional changes, paging, audit.
#include "admin/admin_front.hpp"
#include "admin/admin_handler.hpp"
#include "config/changes.hpp"
#include "config/checks.hpp"
#include "config/documents.hpp"
#include "tests/http/loopback.hpp"
#include "tests/store/fake_exchange.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace samphirespool;
using nlohmann::json;

namespace {

// Applies changes to a value; the answer can be set or held back.
class fake_configuration final : public config::configuration_service {
public:
    std::shared_ptr<const config::fleet_configuration> current() const override {
        return this->in_force;
    }
    const std::vector<helpers::vm_entry>& vms() const override { return this->no_vms; }
    void on_change(std::function<void()>) override {}

    void change(config::change_request wanted,
                std::function<void(config::change_result)> done) override {
        this->last = wanted;
        if (this->hold) {
            this->held = std::move(done);
            return;
        }
        if (this->forced)
            return done({*this->forced, this->in_force->version, {}});
        if (wanted.if_version != 0 && wanted.if_version != this->in_force->version)
            return done({config::change_status::conflict, this->in_force->version, {}});
        auto applied = config::apply(*this->in_force, wanted.body, 77);
        if (!applied.changed)
            return done({config::change_status::invalid, this->in_force->version, applied.faults});
        ++applied.changed->version;
        this->in_force =
            std::make_shared<const config::fleet_configuration>(std::move(*applied.changed));
        done({config::change_status::accepted, this->in_force->version, {}});
    }

    std::shared_ptr<const config::fleet_configuration> in_force;
    std::optional<config::change_status> forced;
    config::change_request last;
    bool hold = false;
    std::function<void(config::change_result)> held;

private:
    std::vector<helpers::vm_entry> no_vms;
};

class fake_fleet final : public admin::fleet_view {
public:
    admin::own_status status() const override { return {.name = "r1", .ready = true}; }
    std::vector<admin::member_status> members() const override {
        return {{.name = "r2", .peer_address = {"10.0.0.2", 7}, .state = "alive"}};
    }
    std::vector<admin::target_status> targets() const override {
        return {{.name = "e1", .service = "quotes"}, {.name = "s1", .service = "orders"}};
    }
};

struct kept_sink final : kernel::event_sink {
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

    tests::recorded_response ask(std::string method, const std::string& target,
                                 std::string body = "", const std::string& token = "write") {
        tests::recorded_response answer;
        this->handler.handle(std::make_unique<tests::fake_exchange>(
            std::move(method), target, std::move(body), answer,
            http::header_list{{"authorization", "Bearer " + token}}));
        return answer;
    }

    json ask_json(std::string method, const std::string& target, std::string body = "") {
        return json::parse(this->ask(std::move(method), target, std::move(body)).body);
    }

    kernel::manual_clock time;
    debug::metrics metrics{time};
    kernel::random_source random{1};
    fake_configuration configuration;
    fake_fleet fleet;
    kept_sink events;
    admin::admin_handler handler{
        {configuration, fleet, metrics, events, random},
        {{"ann", admin::token_hash("read"), settings::admin_role::reader},
         {"bob", admin::token_hash("write"), settings::admin_role::operator_role}}};
};

} // namespace

TEST_CASE_FIXTURE(admin_fixture, "only a known token is let in, and a reader changes nothing") {
    CHECK(admin::token_hash("example") ==
          "50d858e0985ecc7f60418aaf0cc5ab587f42c2570a884095a9e8ccacd0f6545c");
    for (const auto* wrong : {"", "wrong", "write ", "rea"})
        CHECK(this->ask("GET", "/admin/v1/status", "", wrong).status == 401);
    CHECK(this->ask("GET", "/admin/v1/status", "", "read").status == 200);
    CHECK(this->ask("PUT", "/admin/v1/preset", R"({"name":"peak"})", "read").status == 403);
    CHECK(this->configuration.in_force->version == 5);
    CHECK(this->events.events.back().at("event") == "admin.denied");
    CHECK(this->events.events.back().at("who") == "ann");
    admin::admin_handler closed({configuration, fleet, metrics, events, random}, {});
    tests::recorded_response answer;
    closed.handle(std::make_unique<tests::fake_exchange>(
        "GET", "/admin/v1/status", "", answer, http::header_list{{"authorization", "Bearer "}}));
    CHECK(answer.status == 401);
}

TEST_CASE_FIXTURE(admin_fixture, "a change is conditional, audited and named by its request id") {
    const auto stale = this->ask("PUT", "/admin/v1/preset?if_version=4", R"({"name":"peak"})");
    CHECK(stale.status == 409);
    CHECK(json::parse(stale.body).at("version") == 5);
    const auto answer = this->ask("PUT", "/admin/v1/preset",
                                  R"({"name":"peak","if_version":5,"request_id":"op-1"})");
    CHECK(answer.status == 200);
    CHECK(json::parse(answer.body).at("request_id") == "op-1");
    CHECK(this->configuration.last.operator_name == "bob");
    const auto audit = this->events.events.back();
    CHECK(audit.at("who") == "bob");
    CHECK(audit.at("what") == "PUT /admin/v1/preset");
    CHECK(audit.at("from_version") == 5);
    CHECK(audit.at("to_version") == 6);
    CHECK(audit.at("result") == "accepted");
    CHECK(this->ask_json("GET", "/admin/v1/preset").at("name") == "peak");
    const auto first = this->ask_json("PUT", "/admin/v1/preset", R"({"name":"peak"})");
    const auto second = this->ask_json("PUT", "/admin/v1/preset", R"({"name":"peak"})");
    CHECK(first.at("request_id") != second.at("request_id"));
    CHECK(this->ask("PUT", "/admin/v1/preset?if_version=x", R"({"name":"peak"})").status == 400);
    CHECK(this->ask("PUT", "/admin/v1/preset?request_id=a%20b", R"({"name":"a"})").status == 400);
}

TEST_CASE_FIXTURE(admin_fixture,
                  "each outcome of a change has its status and says what it promises") {
    const auto status_of = [&](config::change_status outcome) {
        this->configuration.forced = outcome;
        return this->ask("PUT", "/admin/v1/marks/vms/vm-1", R"({"state":"leaving"})");
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

TEST_CASE_FIXTURE(admin_fixture, "all faults of a document come back and nothing is changed") {
    const auto answer = this->ask("PUT", "/admin/v1/organisations/kandy",
                                  R"({"weight":"many","colour":1,"api_key_hash":2})");
    CHECK(answer.status == 422);
    CHECK(json::parse(answer.body).at("faults").size() == 3);
    for (const auto* body : {"{", "[]", "\xff", R"({"name":"other","api_key_hash":"00"})"})
        CHECK(this->ask("PUT", "/admin/v1/organisations/kandy", body).status == 422);
    CHECK(this->ask("PUT", "/admin/v1/marks/vms/v", R"({"state":"gone"})").status == 422);
    CHECK(this->ask("PUT", "/admin/v1/preset", R"({"name":"feast"})").status == 422);
    CHECK(this->ask("PUT", "/admin/v1/preset", R"({"if_version":"x","name":"peak"})").status ==
          422);
    CHECK(this->configuration.in_force->version == 5);
    CHECK(this->events.events.back().at("result") == "invalid");
}

TEST_CASE_FIXTURE(admin_fixture, "documents and marks can be put, read in pages and removed") {
    for (int i = 0; i < 5; ++i) {
        const auto name = "org-" + std::to_string(i);
        const json body{{"api_key_hash", admin::token_hash(name)}};
        REQUIRE(this->ask("PUT", "/admin/v1/organisations/" + name, body.dump()).status == 200);
    }
    const auto page = this->ask_json("GET", "/admin/v1/organisations?limit=2&after=org-1");
    CHECK(page.at("organisations").size() == 2);
    CHECK(page.at("organisations")[0].at("name") == "org-2");
    CHECK(page.at("next") == "org-3");
    CHECK(this->ask_json("GET", "/admin/v1/organisations?after=org-3").at("next").is_null());
    CHECK(this->ask("GET", "/admin/v1/organisations?limit=1001").status == 400);
    CHECK(this->ask("DELETE", "/admin/v1/organisations/org-0").status == 200);
    CHECK(this->ask("GET", "/admin/v1/organisations/org-0").status == 404);
    const std::string mark = "/admin/v1/marks/data-centres/lk-a";
    CHECK(this->ask("GET", mark).status == 404);
    CHECK(this->ask("PUT", mark, R"({"state":"leaving"})").status == 200);
    CHECK(this->ask_json("GET", mark).at("state") == "leaving");
    CHECK(this->ask_json("GET", "/admin/v1/marks").at("data_centres").size() == 1);
    CHECK(this->ask("PUT", "/admin/v1/services/quotes", R"({"models":["m"]})").status == 200);
    CHECK(this->ask_json("GET", "/admin/v1/services").at("services")[0].at("name") == "quotes");
    CHECK(this->ask("PUT", "/admin/v1/presets/peak", R"({"limit_factor":2})").status == 200);
    CHECK(this->ask_json("GET", "/admin/v1/presets").at("presets").size() == 3);
}

TEST_CASE_FIXTURE(admin_fixture, "a configuration can be checked, exported and imported whole") {
    const auto exported = this->ask("GET", "/admin/v1/configuration").body;
    CHECK(this->ask("POST", "/admin/v1/configuration/check", exported).status == 200);
    auto changed = json::parse(exported);
    changed["preset_in_force"] = "feast";
    const auto refused = this->ask("POST", "/admin/v1/configuration/check", changed.dump());
    CHECK(refused.status == 422);
    CHECK(json::parse(refused.body).at("valid") == false);
    changed["preset_in_force"] = "maintenance";
    CHECK(this->ask("PUT", "/admin/v1/configuration?if_version=5", changed.dump()).status == 200);
    CHECK(this->configuration.in_force->preset_in_force == "maintenance");
    CHECK(this->ask("PUT", "/admin/v1/configuration?if_version=5", changed.dump()).status == 409);
}

TEST_CASE_FIXTURE(admin_fixture,
                  "views answer, unknown calls do not, and a start without state says so") {
    CHECK(this->ask_json("GET", "/admin/v1/status").at("configuration_version") == 5);
    CHECK(this->ask_json("GET", "/admin/v1/members").at("members")[0].at("peer_address") ==
          "10.0.0.2:7");
    CHECK(this->ask_json("GET", "/admin/v1/targets?service=orders").at("targets").size() == 1);
    this->metrics.make_counter({"some_total", "Some."}).add(3);
    CHECK(this->ask("GET", "/metrics").body.find("some_total 3") != std::string::npos);
    for (const auto* path :
         {"/", "/admin/v1", "/admin/v1/organisations/", "/admin/v1/marks/vms/a/b"})
        CHECK(this->ask("GET", path).status == 404);
    CHECK(this->ask("PATCH", "/admin/v1/preset").status == 404);
    this->configuration.in_force = nullptr;
    CHECK(this->ask("GET", "/admin/v1/preset").status == 503);
    CHECK(this->ask_json("GET", "/admin/v1/status").at("configuration_version").is_null());
}

TEST_CASE_FIXTURE(admin_fixture,
                  "a change whose answer comes late still reaches audit and caller") {
    this->configuration.hold = true;
    tests::recorded_response answer;
    this->handler.handle(std::make_unique<tests::fake_exchange>(
        "PUT", "/admin/v1/preset", R"({"name":"peak"})", answer,
        http::header_list{{"authorization", "Bearer write"}}));
    CHECK_FALSE(answer.status);
    CHECK(this->events.events.empty());
    auto held = std::exchange(this->configuration.held, nullptr);
    held({config::change_status::accepted, 9, {}});
    held = nullptr;
    CHECK(answer.status == 200);
    CHECK(this->events.events.back().at("to_version") == 9);
}

TEST_CASE_FIXTURE(admin_fixture, "the operators' listener serves the API over TCP") {
    http::event_loop loop;
    settings::router_settings wanted;
    wanted.admin_listen = {"127.0.0.1", 0};
    wanted.admin_tokens = {{"bob", admin::token_hash("write"), settings::admin_role::reader}};
    admin::admin_front front(loop, wanted, {configuration, fleet, metrics, events, random});
    kernel::error reason;
    REQUIRE(front.listen(reason));
    http::h2o_client client(loop, {});
    tests::recorded_answer answer;
    http::client_request request;
    request.to = {"127.0.0.1", front.port()};
    request.path = "/admin/v1/preset";
    request.headers = {{"authorization", "Bearer write"}};
    const auto call = client.start(request, answer);
    tests::run_until(loop, [&] { return answer.ended(); });
    CHECK(answer.status == 200);
    CHECK(json::parse(answer.body).at("name") == "ordinary");
    wanted.admin_tls = settings::tls_settings{"/nonexistent/crt", "/nonexistent/key"};
    admin::admin_front faulty(loop, wanted, {configuration, fleet, metrics, events, random});
    CHECK_FALSE(faulty.listen(reason));
    CHECK(reason.detail.find("/nonexistent/crt") != std::string::npos);
}
