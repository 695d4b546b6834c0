// Tests of the conversion between the store's JSON and the gateway's types.
#include "platform/object_json.hpp"
#include "platform/store_response.hpp"
#include "routing/route_table.hpp"

#include <doctest/doctest.h>

using namespace samphirespool;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view configuration = R"({"version":7,"routes":[
  {"name":"r1","host":"a.example","pathPrefix":"/x/","kind":"streaming","timeoutMs":15000,
   "targetLatencyMs":800,"priority":1,"weightedSplit":[{"service":"s1","weight":90},
   {"service":"s2","weight":10}],"maxAttempts":1,"public":false,"sessionAffinity":true,
   "streamResume":false,"gapTargetMs":250},
  {"name":"r2","host":"a.example","pathPrefix":"/x/y/","kind":"idempotent","timeoutMs":1000,
   "service":"s2","maxAttempts":2},
  {"name":"r3","host":"a.example","pathPrefix":"/z/","kind":"streaming","service":"s1",
   "streamResume":true}],
 "services":[{"name":"s1","healthPath":"/health","maxConnections":370,"coldPerS":14.0,
   "engine":{"slots":64,"kvCapacityTokens":520740}},{"name":"s2"}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
   "idleTimeoutMs":15000},
 "tenants":[{"name":"t1","apiKeys":["k1","k2"],"priority":0},{"name":"t2","apiKeys":["k3"]}]})";

} // namespace

TEST_CASE("platform: a configuration is decoded to routes, services and API keys") {
    const platform::json_object_codec codec;
    kernel::error reason;
    const auto read = codec.read_configuration(configuration, reason);
    REQUIRE(read);
    CHECK(read->version == 7);
    REQUIRE(read->routes.size() == 3);
    CHECK(read->routes[0].is_streaming);
    CHECK_FALSE(read->routes[0].is_idempotent);
    CHECK(read->routes[0].objective == 800ms);
    CHECK(read->routes[0].event_gap == 250ms);
    CHECK(read->routes[1].event_gap == 0ms);
    CHECK(read->routes[0].services.size() == 2);
    CHECK(read->routes[1].is_idempotent);
    CHECK(read->routes[1].max_attempts == 2);
    CHECK(read->routes[2].is_resumable);
    CHECK(read->api_keys.at("k2").organisation == "t1");
    CHECK(read->api_keys.at("k2").priority == 0);
    CHECK_FALSE(read->api_keys.at("k3").priority);
    const routing::route_table table(*read);
    CHECK(table.find_route("a.example:80", "/x/y/1")->name == "r2");
    CHECK(table.find_route("a.example", "/x/1")->name == "r1");
    CHECK(table.find_route("a.example", "/other") == nullptr);
    CHECK(table.find_route("b.example", "/x/1") == nullptr);
    CHECK(table.find_service(helpers::id_of<helpers::service_id>("s1"))->engine->slots == 64);
}

TEST_CASE("platform: a route's services are selected by weight") {
    const platform::json_object_codec codec;
    kernel::error reason;
    const auto read = codec.read_configuration(configuration, reason);
    REQUIRE(read);
    CHECK(routing::pick_service(read->routes[0], 0.89) ==
          helpers::id_of<helpers::service_id>("s1"));
    CHECK(routing::pick_service(read->routes[0], 0.91) ==
          helpers::id_of<helpers::service_id>("s2"));
}

TEST_CASE("platform: an invalid configuration is rejected with a reason") {
    const platform::json_object_codec codec;
    for (const auto* content :
         {"", "[]", R"({"routes":[]})", R"({"version":1})", R"({"version":"1","routes":[]})",
          R"({"version":1,"routes":[{"name":"r","host":"h"}]})"}) {
        kernel::error reason;
        CHECK_FALSE(codec.read_configuration(content, reason));
        CHECK_FALSE(reason.detail.empty());
    }
}

TEST_CASE("platform: target entries are decoded, and invalid ones are rejected") {
    const platform::json_object_codec codec;
    kernel::error reason;
    const auto read = codec.read_target(
        "i-1",
        R"({"service":"s1","address":"10.0.0.9:8080","zone":"z","slots":64,"state":"draining","coldRemainingMs":1500,"born":1700,"sequence":4})",
        reason);
    REQUIRE(read);
    CHECK(read->is_draining);
    CHECK(read->slots == 64);
    CHECK(read->cold_for == 1500ms);
    CHECK(read->started_at == 1700);
    CHECK(read->data_centre == "z");
    for (const auto* content :
         {"", "7", R"({"service":"s1"})", R"({"service":"s1","address":"nowhere","state":"ready"})",
          R"({"service":"s1","address":"10.0.0.9:8080","state":"sleeping"})",
          R"({"service":9,"address":"10.0.0.9:8080","state":"ready"})"})
        CHECK_FALSE(codec.read_target("i-2", content, reason));
}

TEST_CASE("platform: responses of the store are decoded by status") {
    const auto listed = platform::read_response(
        200,
        R"({"items":[{"metadata":{"name":"a"},"spec":{"x":1}}],"more":true,"storeRevision":5})");
    const auto& page = std::get<discovery::feed_page>(listed);
    CHECK(page.more);
    CHECK(page.revision == 5);
    CHECK(page.objects.front().content == R"({"x":1})");
    const auto watched = platform::read_response(
        200,
        R"({"events":[{"removed":true,"object":{"metadata":{"name":"a"}}}],"storeRevision":6})");
    CHECK(std::get<discovery::feed_page>(watched).objects.front().is_removed);
    CHECK(std::holds_alternative<discovery::history_lost>(platform::read_response(410, "")));
    CHECK(std::get<kernel::error>(platform::read_response(409, "")).kind ==
          kernel::error_kind::conflict);
    CHECK(std::holds_alternative<kernel::error>(platform::read_response(503, "")));
    CHECK(std::holds_alternative<kernel::error>(platform::read_response(200, "not json")));
}

TEST_CASE("platform: a member entry survives a round trip") {
    const platform::json_object_codec codec;
    const exchange::member self{"g1", "z", {"10.0.0.1", 7340}, 25, {"10.0.0.1", 7341}};
    kernel::error reason;
    const auto read = codec.read_member("g1", codec.write_member(self), reason);
    REQUIRE(read);
    CHECK(*read == self);
    // An entry of a release that passes on no requests.
    const exchange::member earlier{"g2", "z", {"10.0.0.2", 7340}, 25, {}};
    CHECK(codec.read_member("g2", codec.write_member(earlier), reason) == earlier);
    CHECK_FALSE(codec.read_member("g1", "{}", reason));
}

// Guards against orders whose status or revisions are lost on the way from the store.
TEST_CASE("platform: orders of rollouts keep their status and revisions") {
    const platform::json_object_codec codec;
    const auto listed = platform::read_response(
        200,
        R"({"items":[{"metadata":{"name":"desk","revision":9,"createRevision":4},)"
        R"("spec":{"service":"desk","to":"v2","periodS":12},)"
        R"("status":{"state":"reverted","to":"v2"}}],"storeRevision":12})",
        {platform::object_part::whole});
    const auto& page = std::get<discovery::feed_page>(listed);
    REQUIRE(page.objects.size() == 1);
    kernel::error reason;
    const auto order = codec.read_rollout("desk", page.objects[0].content, reason);
    REQUIRE(order);
    CHECK(order->service == "desk");
    CHECK(order->to == "v2");
    CHECK(order->stored.content.period == 12s);
    CHECK(order->stored.content.create_revision == 4);
    CHECK(order->stored.revision == 9);
    CHECK(order->stored.final_phase() == rollout::phase::reverted);
    CHECK_FALSE(codec.read_rollout("desk", R"({"spec":{"to":"v2"}})", reason));
    CHECK_FALSE(codec.read_rollout("desk", R"({"spec":{"to":"v2","periodS":-1}})", reason));
}

// Guards against a status that is written unconditionally or in words that the platform lacks.
TEST_CASE("platform: status and record of a rollout") {
    const platform::json_object_codec codec;
    const auto status = codec.write_rollout_status(rollout::phase::completed, "v\"2");
    CHECK(status == R"({"state":"completed","to":"v\"2"})");
    CHECK(platform::encode_status("desk", "{}", 9) ==
          R"({"metadata":{"name":"desk","revision":9},"status":{}})");
    const rollout::record record{{0xabc}, rollout::phase::changing_over, 1700000000123};
    kernel::error reason;
    const auto read = codec.read_rollout_record("desk", codec.write_rollout_record(record), reason);
    REQUIRE(read);
    CHECK(*read == record);
    CHECK_FALSE(codec.read_rollout_record("desk", "{}", reason));
}
