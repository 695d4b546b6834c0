// Tests of gateways without paths to the targets: how they notice, and how other gateways serve
// their callers.
#include "gateway/path_prober.hpp"
#include "tests/gateway/gateway_harness.hpp"

#include <doctest/doctest.h>

#include <set>

using namespace samphirespool;
using namespace std::chrono_literals;
using gateway::relay_signer;
using gateway::relay_ticket;
using tests::gateway_harness;

namespace {

const std::string ticket_field(gateway::relay_fields::ticket);
const std::string refused_field(gateway::relay_fields::refused);
const std::string software_field(gateway::relay_fields::software);

std::vector<exchange::member> members_of(int count) {
    std::vector<exchange::member> result;
    for (int i = 1; i <= count; ++i)
        result.push_back({"g" + std::to_string(i),
                          "east",
                          {"10.1.0." + std::to_string(i), 7000},
                          10,
                          {"10.1.0." + std::to_string(i), 7001}});
    return result;
}

// A gateway, g1, among others, whose paths the test breaks.
struct relay_fixture : gateway_harness {
    explicit relay_fixture(int gateways = 3) { this->peers.set_members(members_of(gateways)); }

    void set_paths(bool work) {
        for (const auto& each : this->catalog.all_targets())
            this->dispatch.paths().on_probed(each->serial, work);
        this->process_events();
    }
    static bool is_relay(const tests::scripted_call& call) { return call.request.to.port == 7001; }
    void refuse_last() {
        this->last_call().connect();
        this->last_call().listener->on_head(503, {{refused_field, "no path"}});
        this->process_events();
    }
    // A request that another gateway has passed on to this one.
    caller& receive(const std::string& path, std::uint32_t attempts = 0,
                    std::uint64_t version = 7) {
        http::header_list headers{{"x-request-id", "id-" + std::to_string(++this->sequence)},
                                  {"x-deadline-ms", "5000"},
                                  {"authorization", "Bearer key"}};
        auto& added = this->callers.emplace_back();
        added.request = std::make_unique<gateway::proxied_request>(
            this->services,
            std::make_unique<tests::fake_exchange>("POST", path, "body", added.response, headers),
            this->table, this->loop.time().now(), this->sequence,
            [&added] { added.is_finished = true; }, relay_ticket{"g2", attempts, version});
        added.request->start();
        this->process_events();
        return added;
    }
};

struct prober_fixture {
    explicit prober_fixture(int targets) {
        this->loop.advance(1s);
        for (int i = 0; i < targets; ++i)
            this->catalog.update(tests::make_target("t" + std::to_string(i), "desk"),
                                 this->loop.time().now());
        for (const auto& each : this->catalog.all_targets())
            this->serials.push_back(each->serial);
    }
    // Connects to all targets fail from now on, or succeed.
    void run_for(helpers::duration time, bool connects) {
        for (auto passed = 0ns; passed < time; passed += 50ms) {
            this->loop.advance(50ms);
            for (auto& call : this->client.calls) {
                if (call.is_cancelled || this->done.contains(&call))
                    continue;
                this->done.insert(&call);
                if (connects)
                    CHECK_FALSE(call.listener->on_connected());
                else
                    call.fail(false);
            }
        }
    }

    kernel::manual_loop loop;
    kernel::random_source random{3};
    tests::recording_sink events;
    discovery::target_catalog catalog{events, {}};
    admission::target_paths paths;
    tests::scripted_client client;
    std::set<tests::scripted_call*> done;
    std::vector<std::uint64_t> serials;
    gateway::path_prober prober{loop, random, events, client, catalog, paths};
};

} // namespace

TEST_CASE("paths: a path is broken by two failures in a row, and works again after a probe") {
    admission::target_paths paths;
    paths.on_connect_failed(1);
    CHECK_FALSE(paths.is_broken(1));
    paths.on_connect_failed(1);
    CHECK(paths.is_broken(1));
    paths.on_probed(1, true);
    CHECK_FALSE(paths.is_broken(1));
    paths.on_connect_failed(2);
    paths.on_probed(2, true);
    paths.on_connect_failed(2);
    CHECK_FALSE(paths.is_broken(2));
}

// Guards against RECOVER: a gateway that has lost all paths finds that out target by target.
TEST_CASE("paths: a gateway that has lost all paths knows it within a second of the first sign") {
    prober_fixture fixture(12);
    fixture.paths.on_connect_failed(fixture.serials.front());
    fixture.run_for(1s, false);
    CHECK(fixture.paths.broken_count() == 12);
    fixture.run_for(1s, true);
    CHECK(fixture.paths.broken_count() == 0);
    CHECK(fixture.prober.probing() == 0);
}

TEST_CASE("paths: one dead target leads to few probes of the others") {
    prober_fixture fixture(200);
    fixture.paths.on_connect_failed(fixture.serials.front());
    fixture.loop.advance(1ns);
    fixture.client.calls.front().fail(false);
    fixture.done.insert(&fixture.client.calls.front());
    fixture.loop.advance(1ns);
    fixture.run_for(200ms, true);
    CHECK(fixture.paths.broken_count() == 1);
    CHECK(fixture.client.calls.size() <= 6);
}

// Guards against a sound target that is silent for a second being taken for one without a path.
TEST_CASE("paths: a silent target that accepts connections keeps its path") {
    prober_fixture fixture(3);
    fixture.paths.on_silent(fixture.serials.front());
    fixture.run_for(100ms, true);
    CHECK(fixture.paths.broken_count() == 0);
    CHECK(fixture.client.calls.size() == 1);
}

// Guards against RECOVER: callers wait and are rejected while other gateways reach the targets.
TEST_CASE("relay: without a path another gateway serves the request, with the time that is left") {
    relay_fixture gateway;
    gateway.set_paths(false);
    gateway.send("/book/1", {{"x-deadline-ms", "900"}});
    REQUIRE(gateway.call_count() == 1);
    auto& call = gateway.last_call();
    CHECK(relay_fixture::is_relay(call));
    CHECK(call.header("authorization") == "Bearer key");
    CHECK(std::stoi(call.header("x-deadline-ms")) <= 900);
    CHECK(call.request.host == "test");
    CHECK(call.request.path == "/book/1");
    CHECK(call.request.body == "body");
    // A request that must not be repeated goes on a new connection.
    CHECK(call.request.requires_new_connection);
    call.respond(200, "answer");
    gateway.process_events();
    CHECK(gateway.callers.back().response.status == 200);
    CHECK(gateway.callers.back().response.body == "answer");
}

TEST_CASE("relay: gateways that refuse are asked once, and the paths of this one are used again") {
    relay_fixture gateway(3);
    gateway.set_paths(false);
    gateway.send("/look/1");
    const auto first = gateway.last_call().request.to;
    gateway.refuse_last();
    REQUIRE(gateway.call_count() == 2);
    CHECK(gateway.last_call().request.to != first);
    gateway.refuse_last();
    // Nobody else is left, so the request waits for a path within its queue time.
    CHECK(gateway.call_count() == 2);
    CHECK_FALSE(gateway.callers.back().is_finished);
    gateway.set_paths(true);
    gateway.advance(20ms);
    REQUIRE(gateway.call_count() == 3);
    CHECK_FALSE(relay_fixture::is_relay(gateway.last_call()));
    gateway.last_call().respond(200, "answer");
    gateway.process_events();
    CHECK(gateway.callers.back().response.status == 200);
    // The next request does not ask them again at once.
    gateway.set_paths(false);
    gateway.send("/look/2");
    CHECK(gateway.call_count() == 3);
}

// Guards against TWICE and REFUSED: the other gateway dies after it has got the request.
TEST_CASE("relay: a gateway that is lost may have run the request") {
    relay_fixture gateway;
    gateway.set_paths(false);
    gateway.send("/book/1");
    gateway.last_call().connect();
    gateway.last_call().fail(true);
    gateway.process_events();
    CHECK(gateway.call_count() == 1);
    CHECK(gateway.callers.back().response.status == 502);
    // One that could not be reached has not.
    gateway.send("/book/2");
    gateway.last_call().fail(false);
    gateway.advance(2s);
    CHECK(gateway.call_count() == 2);
    CHECK(gateway.callers.back().response.status == 503);
}

TEST_CASE("relay: an idempotent request goes to another gateway if one is lost or silent") {
    for (const bool is_silent : {false, true}) {
        CAPTURE(is_silent);
        relay_fixture gateway;
        gateway.set_paths(false);
        gateway.send("/look/1");
        const auto first = gateway.last_call().request.to;
        gateway.last_call().connect();
        if (is_silent)
            gateway.advance(1s);
        else
            gateway.last_call().fail(true);
        gateway.process_events();
        REQUIRE(gateway.call_count() == 2);
        CHECK(relay_fixture::is_relay(gateway.last_call()));
        CHECK(gateway.last_call().request.to != first);
        gateway.last_call().respond(200, "answer");
        gateway.process_events();
        CHECK(gateway.callers.back().response.status == 200);
    }
}

TEST_CASE("relay: what the other gateway responds is passed on as it is") {
    relay_fixture gateway;
    gateway.set_paths(false);
    for (const int status : {404, 429, 503, 504}) {
        CAPTURE(status);
        gateway.send("/book/1");
        gateway.last_call().connect();
        gateway.last_call().listener->on_head(
            status,
            {{"retry-after", "0.3"}, {"x-outcome", status == 504 ? "outcome unknown" : "not run"}});
        gateway.last_call().listener->on_done();
        gateway.process_events();
        CHECK(gateway.callers.back().response.status == status);
        CHECK(http::find_header(gateway.callers.back().response.headers, "retry-after") == "0.3");
    }
}

// Guards against MIXED and REFUSED: whoever has another gateway's address answers a request, or a
// gateway passes on what no target has sealed.
TEST_CASE("relay: a response that no gateway or target can have sent is not passed on") {
    for (const auto& each : std::initializer_list<std::pair<int, http::header_list>>{
             {200, {}},
             {200, {{"x-request-id", "id-1"}}},
             {200, {{"x-seal", "seal"}}},
             {200, {{"x-outcome", "answered"}, {"x-request-id", "id-1"}}},
             {200, {{"x-request-id", "id-2"}, {"x-seal", "seal"}}},
             {500, {}},
             {503, {}},
             {503, {{"x-request-id", "id-1"}}},
             {503, {{"x-outcome", "outcome unknown"}}},
         }) {
        CAPTURE(each.first);
        relay_fixture gateway;
        gateway.set_paths(false);
        auto& caller = gateway.send("/book/1");
        REQUIRE(relay_fixture::is_relay(gateway.last_call()));
        gateway.last_call().connect();
        gateway.last_call().listener->on_head(each.first, each.second);
        gateway.process_events();
        CHECK(gateway.last_call().is_connection_discarded);
        CHECK(gateway.last_call().is_cancelled);
        CHECK(gateway.call_count() == 1);
        CHECK(caller.response.status == 502);
        CHECK(gateway.events.last("request.relay_failed")->text("fault") != "none");
    }
}

// Guards against ORDER: a stream that began through another gateway goes on at any version.
TEST_CASE("relay: a stream is passed on by event, and is taken up at the version that began it") {
    relay_fixture gateway;
    gateway.set_paths(false);
    auto& caller = gateway.send("/talk/1");
    auto& call = gateway.last_call();
    const auto software = discovery::software_hash("");
    call.connect();
    call.head(200,
              {{"content-type", "text/event-stream"}, {software_field, std::to_string(software)}});
    call.body("id: 1\ndata: a\n\nid: 2\nda");
    CHECK(caller.response.body == "id: 1\ndata: a\n\n");
    CHECK_FALSE(http::find_header(caller.response.headers, software_field));
    call.fail(true);
    gateway.process_events();
    REQUIRE(gateway.call_count() == 2);
    CHECK(gateway.last_call().header("last-event-id") == "1");
    CHECK(gateway.last_call().header("x-resumes") == gateway.last_call().header("x-request-id"));
    CHECK(gateway.origins.find(gateway.last_call().header("x-request-id")) == software);
    gateway.last_call().connect();
    gateway.last_call().head(200, {{"content-type", "text/event-stream"}});
    gateway.last_call().body("id: 2\ndata: b\n\n");
    gateway.last_call().listener->on_done();
    gateway.process_events();
    CHECK(caller.response.body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

// Guards against GONE: the target works on for a caller that has left.
TEST_CASE("relay: the call to the other gateway ends when the caller leaves") {
    relay_fixture gateway;
    gateway.set_paths(false);
    gateway.send("/look/1");
    auto& call = gateway.last_call();
    call.connect();
    gateway.callers.back().request.reset();
    CHECK(call.is_cancelled);
    CHECK(gateway.peers.in_progress() == 0);
}

TEST_CASE("relay: a request of another gateway is served, but not passed on again") {
    relay_fixture gateway;
    gateway.receive("/look/1");
    REQUIRE(gateway.call_count() == 1);
    CHECK_FALSE(relay_fixture::is_relay(gateway.last_call()));
    gateway.last_call().respond(200, "answer");
    gateway.process_events();
    CHECK(gateway.callers.back().response.status == 200);
    gateway.set_paths(false);
    gateway.receive("/look/2");
    CHECK(gateway.call_count() == 1);
    CHECK(gateway.callers.back().response.status == 503);
    CHECK(http::find_header(gateway.callers.back().response.headers, refused_field));
}

// Guards against BUDGET: attempts before and after the relay add up to more than the route allows.
TEST_CASE("relay: attempts of the gateway that has the caller count") {
    relay_fixture gateway;
    gateway.receive("/look/1", 1);
    gateway.last_call().connect();
    gateway.last_call().fail(true);
    gateway.process_events();
    CHECK(gateway.call_count() == 1);
    gateway.receive("/look/2", 0);
    gateway.last_call().connect();
    gateway.last_call().fail(true);
    gateway.process_events();
    CHECK(gateway.call_count() == 3);
}

TEST_CASE("relay: a stream that is served for another gateway names its software version") {
    relay_fixture gateway;
    auto& caller = gateway.receive("/talk/1");
    gateway.last_call().connect();
    gateway.last_call().head(200, {{"content-type", "text/event-stream"}});
    gateway.last_call().body("id: 1\ndata: a\n\n");
    CHECK(http::find_header(caller.response.headers, software_field) ==
          std::to_string(discovery::software_hash("")));
}

// Guards against a caller who poses as a gateway, or replays a ticket with another request.
TEST_CASE("relay: a ticket holds for its request and its fleet only") {
    const relay_signer signer{std::vector<wire::bytes>{wire::bytes(32, 7)}};
    const relay_signer other{std::vector<wire::bytes>{wire::bytes(32, 8)}};
    const http::header_list none;
    const http::server_request request{"POST", "host", "/a/b", "q=1", "body", none};
    const auto text = signer.sign({"g1", 2, 40}, request);
    const auto verified = signer.verify(text, request);
    REQUIRE(verified);
    CHECK(verified->from == "g1");
    CHECK(verified->attempts == 2);
    CHECK(verified->version == 40);
    CHECK_FALSE(other.verify(text, request));
    for (const http::server_request& changed :
         {http::server_request{"GET", "host", "/a/b", "q=1", "body", none},
          http::server_request{"POST", "other", "/a/b", "q=1", "body", none},
          http::server_request{"POST", "host", "/a/c", "q=1", "body", none},
          http::server_request{"POST", "host", "/a/b", "q=2", "body", none},
          http::server_request{"POST", "host", "/a/b", "q=1", "bodz", none}})
        CHECK_FALSE(signer.verify(text, changed));
    for (std::size_t size = 0; size < text.size(); ++size)
        CHECK_FALSE(signer.verify(text.substr(0, size), request));
    auto forged = text;
    forged[1] = '2';
    CHECK_FALSE(signer.verify(forged, request));
    CHECK_FALSE(signer.verify("", request));
    CHECK_FALSE(signer.verify(",,", request));
}

TEST_CASE("relay: the fields between gateways are neither taken from callers nor sent to targets") {
    relay_fixture gateway;
    gateway.send("/look/1", {{ticket_field, "g2,0,7,00"}, {"samphirespool-relay-other", "1"}});
    REQUIRE(gateway.call_count() == 1);
    CHECK(gateway.last_call().header(ticket_field).empty());
    CHECK(gateway.last_call().header("samphirespool-relay-other").empty());
    gateway.last_call().connect();
    gateway.last_call().head(200, {{refused_field, "1"}});
    gateway.last_call().listener->on_done();
    gateway.process_events();
    CHECK(gateway.callers.back().response.status == 200);
    CHECK_FALSE(http::find_header(gateway.callers.back().response.headers, refused_field));
    gateway.set_paths(false);
    gateway.send("/look/2", {{ticket_field, "g2,0,7,00"}});
    CHECK(gateway.last_call().header(ticket_field).starts_with("g1,0,7,"));
}

TEST_CASE("relay peers: unreachable and refusing ones are passed over for growing times") {
    kernel::random_source random(3);
    gateway::relay_peers peers("g1", random);
    peers.set_members(members_of(2));
    const auto desk = helpers::id_of<helpers::service_id>("desk");
    const auto other = helpers::id_of<helpers::service_id>("other");
    helpers::time_point now{10s};
    peers.on_refused("g2", desk, now);
    CHECK_FALSE(peers.has_candidate(desk, {}, now + 400ms));
    CHECK(peers.has_candidate(other, {}, now + 400ms));
    CHECK(peers.has_candidate(desk, {}, now + 600ms));
    peers.on_refused("g2", desk, now + 600ms);
    CHECK_FALSE(peers.has_candidate(desk, {}, now + 1500ms));
    peers.on_served("g2", desk);
    CHECK(peers.has_candidate(desk, {}, now + 600ms));
    peers.on_unreachable("g2", now);
    CHECK_FALSE(peers.has_candidate(other, {}, now));
    // A gateway of a release that passes on no requests is no candidate.
    auto members = members_of(2);
    members[1].relay_address = {};
    peers.set_members(members);
    CHECK_FALSE(peers.has_candidate(other, {}, now + 1min));
}

TEST_CASE("relay peers: the one with fewer requests in progress is preferred") {
    kernel::random_source random(3);
    gateway::relay_peers peers("g1", random);
    peers.set_members(members_of(5));
    std::map<std::string, int> chosen;
    for (int i = 0; i < 400; ++i) {
        const auto peer = peers.choose(helpers::id_of<helpers::service_id>("desk"), {}, {});
        REQUIRE(peer);
        ++chosen[peer->name];
        peers.on_started(peer->name);
    }
    CHECK(chosen.size() == 4);
    for (const auto& [name, count] : chosen)
        CHECK(count <= 110);
}

// Guards against one reachable target getting what all should: the others have no path from here.
TEST_CASE("relay: a request goes to its target through another gateway if that reaches it") {
    relay_fixture gateway;
    const auto targets = gateway.catalog.all_targets();
    exchange::target_counts fleet_counts;
    for (const auto& each : targets)
        fleet_counts.push_back({each->incarnation_hash, 0, {5, 0}, {}});
    gateway.dispatch.paths().on_probed(targets[0]->serial, false);
    gateway.dispatch.paths().on_probed(targets[1]->serial, false);
    int relayed = 0;
    for (int i = 0; i < 60; ++i) {
        // Other gateways go on to succeed there.
        for (auto& each : fleet_counts)
            ++each.results.responses;
        gateway.dispatch.set_peer_counts(fleet_counts, 0, 100ms);
        gateway.send("/look/1");
        relayed += relay_fixture::is_relay(gateway.last_call()) ? 1 : 0;
        gateway.last_call().respond(200, "answer");
        gateway.process_events();
    }
    CHECK(relayed >= 30);
    CHECK(relayed < 60);
    // Nobody succeeds there any more: the target with a path gets all.
    for (auto& each : fleet_counts)
        each.results = {0, 5};
    gateway.advance(4s);
    gateway.dispatch.set_peer_counts(fleet_counts, 0, 100ms);
    for (int i = 0; i < 20; ++i) {
        gateway.send("/look/1");
        CHECK_FALSE(relay_fixture::is_relay(gateway.last_call()));
        gateway.last_call().respond(200, "answer");
        gateway.process_events();
    }
}

// Guards against requests being passed on for targets that are dead: results from before say
// nothing.
TEST_CASE("relay: successes of others from before a path broke are no evidence") {
    relay_fixture gateway;
    const auto targets = gateway.catalog.all_targets();
    exchange::target_counts fleet_counts;
    for (const auto& each : targets)
        fleet_counts.push_back({each->incarnation_hash, 0, {50, 0}, {}});
    gateway.dispatch.set_peer_counts(fleet_counts, 0, 100ms);
    gateway.dispatch.paths().on_probed(targets[0]->serial, false);
    for (int i = 0; i < 30; ++i) {
        // The window slides on.
        for (auto& each : fleet_counts)
            --each.results.responses;
        gateway.dispatch.set_peer_counts(fleet_counts, 0, 100ms);
        gateway.send("/look/1");
        CHECK_FALSE(relay_fixture::is_relay(gateway.last_call()));
        gateway.last_call().respond(200, "answer");
        gateway.process_events();
    }
}

TEST_CASE("relay: a gateway whose own path to the chosen target is broken refuses") {
    relay_fixture gateway;
    const auto targets = gateway.catalog.all_targets();
    exchange::target_counts fleet_counts;
    for (const auto& each : targets)
        fleet_counts.push_back({each->incarnation_hash, 0, {5, 0}, {}});
    for (std::size_t i = 1; i < targets.size(); ++i)
        gateway.dispatch.paths().on_probed(targets[i]->serial, false);
    int refused = 0;
    for (int i = 0; i < 30; ++i) {
        for (auto& each : fleet_counts)
            ++each.results.responses;
        gateway.dispatch.set_peer_counts(fleet_counts, 0, 100ms);
        const auto calls = gateway.call_count();
        gateway.receive("/look/1");
        if (gateway.call_count() == calls) {
            ++refused;
            CHECK(http::find_header(gateway.callers.back().response.headers, refused_field));
            continue;
        }
        CHECK_FALSE(relay_fixture::is_relay(gateway.last_call()));
        gateway.last_call().respond(200, "answer");
        gateway.process_events();
    }
    CHECK(refused >= 10);
    CHECK(refused < 30);
}

// Guards against DRAIN: the gateway that passes the announcement on does not take it in.
TEST_CASE("relay: a target that leaves is known to the gateway that passes its response on") {
    relay_fixture gateway;
    gateway.receive("/look/1");
    const auto name = gateway.last_call().header("x-expected-target");
    gateway.last_call().respond(200, "answer");
    gateway.process_events();
    const auto& headers = gateway.callers.back().response.headers;
    CHECK(http::find_header(headers, gateway::relay_fields::target) == name);

    gateway.set_paths(false);
    gateway.send("/look/2");
    gateway.last_call().connect();
    gateway.last_call().head(
        200, {{std::string(gateway::relay_fields::target), name}, {"x-target-leaving", "1"}});
    gateway.last_call().listener->on_done();
    gateway.process_events();
    CHECK_FALSE(gateway.catalog.is_eligible(*gateway.catalog.find(name)));
    CHECK(gateway.catalog.leaving_count() == 1);
}

// Guards against CONFIG: a gateway that wakes with an older configuration answers for one that has
// the newer one.
TEST_CASE("relay: a gateway with an older configuration refuses") {
    relay_fixture gateway;
    gateway.receive("/unknown/1", 0, 8);
    CHECK(gateway.call_count() == 0);
    CHECK(gateway.callers.back().response.status == 503);
    CHECK(http::find_header(gateway.callers.back().response.headers, refused_field));
    // Its own or a later configuration decides.
    gateway.receive("/unknown/1", 0, 7);
    CHECK(gateway.callers.back().response.status == 404);
    gateway.receive("/look/1", 0, 6);
    CHECK(gateway.call_count() == 1);
}
