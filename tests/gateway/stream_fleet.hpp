// A simulated fleet of gateways whose callers hold streams. Each gateway has its feeds, its end of
// the exchange and its request path, but no servers; the store outlives the gateways.
#pragma once

#include "gateway/fleet_state.hpp"
#include "gateway/stream_archive.hpp"
#include "platform/object_json.hpp"
#include "tests/discovery/store_standin.hpp"
#include "tests/exchange/fake_network.hpp"
#include "tests/gateway/gateway_harness.hpp"

#include <doctest/doctest.h>

namespace samphirespool::tests {

using namespace std::chrono_literals;

inline constexpr helpers::duration change_bound = 2s;
inline constexpr std::string_view first_events = "id: 1\n\nid: 2\n\nid: 3\n\n";

inline constexpr std::size_t stream_count = 24;
// Until the feeds are read and the exchange has formed, after a start of all gateways.
inline constexpr helpers::duration start_time = 4s;
// The newest records have reached the store by then.
inline constexpr helpers::duration archive_time = 700ms;

inline std::string configuration_text() {
    return R"({"version":1,"routes":[{"name":"talk","host":"test","pathPrefix":"/talk/",)"
           R"("kind":"streaming","streamResume":true,"timeoutMs":5000,"service":"desk"}],)"
           R"("services":[{"name":"desk","maxConnections":500}]})";
}

inline std::string target_text(int number, const std::string& software) {
    return R"({"service":"desk","address":"10.9.0.)" + std::to_string(number) +
           R"(:80","zone":"dc0","slots":0,"version":")" + software + R"(","born":)" +
           std::to_string(1000 + number) + R"(,"state":"ready"})";
}

// One gateway without servers.
struct fleet_gateway {
    fleet_gateway(kernel::manual_loop& loop, fake_network& network, store_standin& store,
                  const exchange::member& self)
        : loop(loop),
          self(self),
          network(network),
          random(helpers::hash_name(self.name) ^ static_cast<std::uint64_t>(loop.time().wall())),
          source(store),
          link(network, self.address),
          catalog(events, {}),
          dispatch(loop, random, events, catalog, settings_of(self.name)),
          crashes(loop, events, self.name),
          fleet({loop, random, events, source, codec}, catalog, dispatch, self,
                discovery::freshness_limits(change_bound)),
          node(loop, events, link, fleet.feeds(), fleet.gate(), self.name, timing()),
          archive({loop, events, source, codec, catalog, fleet, origins, node}),
          peers(self.name, random) {
        network.links[self.address] = &this->link;
        this->node.set_own_counts_source([] { return exchange::target_counts(); });
        this->node.set_stream_origins(this->origins);
        this->fleet.on_members_changed(
            [this](const auto& members) { this->node.set_members(members); });
        this->origins.set_archive(&this->archive);
        this->fleet.start();
        this->node.start();
        this->archive.start();
    }
    ~fleet_gateway() {
        this->callers.clear();
        this->network.links.erase(this->self.address);
    }

    static gateway::dispatch_settings settings_of(const std::string& name) {
        gateway::dispatch_settings settings;
        settings.own_name = name;
        return settings;
    }
    static exchange::exchange_timing timing() {
        exchange::exchange_timing result;
        result.freshness = discovery::freshness_limits(change_bound);
        return result;
    }

    struct caller {
        recorded_response response;
        std::unique_ptr<gateway::proxied_request> request;
        bool is_finished = false;
    };

    caller& send(const std::string& id, http::header_list headers) {
        headers.push_back({"x-request-id", id});
        auto& added = this->callers.emplace_back();
        added.request = std::make_unique<gateway::proxied_request>(
            this->services,
            std::make_unique<fake_exchange>("POST", "/talk/1", "body", added.response, headers),
            this->fleet.table(), this->loop.time().now(), ++this->sequence,
            [&added] { added.is_finished = true; });
        added.request->start();
        return added;
    }
    // The software of the target to which the request was sent; empty if it was not sent.
    std::string software_of(const std::string& id) const {
        for (const auto& call : this->targets.calls) {
            if (call.header("x-request-id") != id)
                continue;
            const auto found = this->catalog.find(call.header("x-expected-target"));
            return found == nullptr ? "gone" : found->registration.software;
        }
        return {};
    }

    kernel::manual_loop& loop;
    exchange::member self;
    fake_network& network;
    kernel::random_source random;
    recording_sink events;
    store_standin::source source;
    platform::json_object_codec codec;
    fake_link link;
    discovery::target_catalog catalog;
    gateway::dispatcher dispatch;
    gateway::crash_guard crashes;
    exchange::stream_origins origins;
    gateway::fleet_state fleet;
    exchange::exchange_node node;
    gateway::stream_archive archive;
    scripted_client targets;
    gateway::relay_peers peers;
    gateway::relay_signer tickets{std::vector<wire::bytes>{wire::bytes(32, 7)}};
    gateway::header_names names;
    gateway::gateway_counters counters;
    gateway::latency_recorders latencies;
    admission::stream_pace stream_paces;
    gateway::shutdown_window shutdown{this->loop.time(), std::chrono::seconds(8)};
    admission::memory_budget memory{0};
    gateway::request_services services{
        this->loop,      this->random,   this->events,
        this->targets,   this->dispatch, this->crashes,
        this->catalog,   this->origins,  this->peers,
        this->tickets,   this->names,    this->counters,
        this->latencies, this->shutdown, this->stream_paces,
        this->memory,    this->codec,    this->fleet.targets_watch()};
    std::list<caller> callers;
    std::uint64_t sequence = 0;
};

struct stream {
    std::string attempt;
    std::string software;
};

struct resume_results {
    std::size_t continued = 0;
    // Sent to another version than the one that began the stream.
    std::size_t mixed = 0;
    // Refused as not run, with the time after which to try again.
    std::size_t refused = 0;
};

struct restarted_fleet {
    explicit restarted_fleet(int gateways, int data_centres = 1) {
        for (int i = 0; i < gateways; ++i)
            this->list.push_back({"g" + std::to_string(i),
                                  "dc" + std::to_string(i % data_centres),
                                  {"10.0.0." + std::to_string(i + 1), 7000},
                                  i < data_centres ? 100U : 10U});
        this->loop.advance(10s);
        this->store.write(discovery::collection::configuration, "main", configuration_text());
    }

    void add_targets(const std::string& software, int first, int count) {
        for (int i = first; i < first + count; ++i)
            this->store.write(discovery::collection::targets, "t" + std::to_string(i),
                              target_text(i, software));
    }
    void remove_targets(int first, int count) {
        for (int i = first; i < first + count; ++i)
            this->store.remove(discovery::collection::targets, "t" + std::to_string(i));
    }
    void run_for(helpers::duration time) {
        for (auto passed = 0ns; passed < time; passed += 5ms)
            this->loop.advance(5ms);
    }
    void start() {
        for (const auto& each : this->list)
            this->gateways.push_back(
                std::make_unique<fleet_gateway>(this->loop, this->network, this->store, each));
    }
    // All processes are killed; none of them says a word.
    void kill() { this->gateways.clear(); }
    void restart() {
        this->kill();
        this->run_for(500ms);
        this->start();
        this->run_for(start_time);
    }

    // Begins streams at all gateways in turn.
    std::vector<stream> begin_streams(std::size_t count) {
        std::vector<stream> result;
        for (std::size_t i = 0; i < count; ++i) {
            auto& gateway = *this->gateways[i % this->gateways.size()];
            const auto id = "a" + std::to_string(++this->attempts);
            gateway.send(id, {});
            this->run_for(10ms);
            auto& call = gateway.targets.calls.back();
            REQUIRE(call.header("x-request-id") == id);
            call.connect();
            call.head(200);
            call.body(first_events);
            result.push_back({id, gateway.software_of(id)});
        }
        return result;
    }

    // The callers take up their streams at other gateways than those where they began.
    resume_results resume(const std::vector<stream>& streams, bool names_attempt) {
        struct resumed {
            const stream* began;
            fleet_gateway* gateway;
            fleet_gateway::caller* caller;
            std::string id;
        };
        std::vector<resumed> all;
        for (std::size_t i = 0; i < streams.size(); ++i) {
            auto& gateway = *this->gateways[(i * 5 + 3) % this->gateways.size()];
            const auto id = "a" + std::to_string(++this->attempts);
            http::header_list headers{{"last-event-id", "3"}};
            if (names_attempt)
                headers.push_back({"x-resumes", streams[i].attempt});
            all.push_back({&streams[i], &gateway, &gateway.send(id, headers), id});
        }
        this->run_for(1500ms);
        resume_results result;
        for (const auto& each : all) {
            const auto software = each.gateway->software_of(each.id);
            const auto& response = each.caller->response;
            if (!software.empty())
                ++(software == each.began->software ? result.continued : result.mixed);
            else if (response.status == 503 &&
                     http::find_header(response.headers, "x-outcome") == "not run" &&
                     http::find_header(response.headers, "retry-after"))
                ++result.refused;
        }
        return result;
    }

    kernel::manual_loop loop;
    fake_network network{loop};
    store_standin store{loop};
    std::vector<exchange::member> list;
    std::vector<std::unique_ptr<fleet_gateway>> gateways;
    std::uint64_t attempts = 0;
};

} // namespace samphirespool::tests
