// Measures claims against a store over HTTP: added latency and store writes per second at given
// rates of requests with idempotency keys, through four routers in one process. Measures also the
// bytes and time of a configuration change with 36,000 organisations. Argument: IP:PORT of the
// platform stand-in.
#include "bench/claims/counting_store.hpp"
#include "bench/claims/local_network.hpp"
#include "claims/claim_manager.hpp"
#include "config/checks.hpp"
#include "http/event_loop.hpp"
#include "http/h2o_client.hpp"
#include "store/configuration_store.hpp"
#include "store/http_object_store.hpp"
#include "store/journal_store.hpp"

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

using namespace samphirespool;

namespace {

constexpr std::size_t router_count = 4;
constexpr auto measured_time = std::chrono::seconds(5);
constexpr std::size_t organisation_count = 36'000;
constexpr int small_changes = 20;

void report(const char* figure, double value, const char* unit, const char* baseline) {
    std::printf(R"({"bench":"claims","figure":"%s","value":%.3f,"unit":"%s","baseline":"%s"})"
                "\n",
                figure, value, unit, baseline);
    std::fflush(stdout);
}

double to_milliseconds(helpers::duration from) {
    return std::chrono::duration<double, std::milli>(from).count();
}

double percentile(std::vector<double> values, double share) {
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto at = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    return values[at];
}

config::peer_router identity(std::size_t index) {
    return {"bench-" + std::to_string(index), "north", {"10.0.0." + std::to_string(index), 1}};
}

struct bench_router {
    bench_router(kernel::loop& loop, bench::local_network& network,
                 claims::journal_objects& objects, std::size_t index, const std::string& run)
        : port(network, identity(index).address),
          directory(identity(index), peer_routers(index)),
          manager(loop, directory, port, objects, settings_for(index, run)) {}

    static std::vector<config::peer_router> peer_routers(std::size_t index) {
        std::vector<config::peer_router> result;
        for (std::size_t i = 0; i < router_count; ++i)
            if (i != index)
                result.push_back(identity(i));
        return result;
    }
    static claims::claim_settings settings_for(std::size_t index, const std::string& run) {
        claims::claim_settings result;
        result.writer = run + "-" + std::to_string(index);
        return result;
    }

    bench::local_network::port port;
    bench::static_directory directory;
    claims::claim_manager manager;
};

// Claims keys at a fixed rate and completes each request as soon as it is claimed.
class rate_run {
public:
    rate_run(http::event_loop& loop, bench::counting_store& objects, int rate, kernel::task done)
        : loop(loop),
          objects(objects),
          journals(objects),
          network(loop),
          rate(rate),
          done(std::move(done)) {
        const auto run = "rate" + std::to_string(rate);
        for (std::size_t i = 0; i < router_count; ++i)
            this->routers.push_back(
                std::make_unique<bench_router>(loop, this->network, this->journals, i, run));
    }

    void start() {
        this->objects.usage = {};
        this->started_at = this->loop.time().now();
        this->next();
    }

private:
    // Sends all requests due by now, since timers have a resolution of one millisecond.
    void next() {
        const auto elapsed = this->loop.time().now() - this->started_at;
        if (elapsed >= measured_time) {
            this->loop.schedule(std::chrono::seconds(1), [this] { this->finish(elapsed_time()); });
            return;
        }
        const auto due_count = std::chrono::duration<double>(elapsed).count() * this->rate;
        while (static_cast<double>(this->started) <= due_count)
            this->send();
        this->loop.schedule(std::chrono::milliseconds(1), [this] { this->next(); });
    }

    double elapsed_time() const { return std::chrono::duration<double>(measured_time).count(); }

    void send() {
        const auto index = this->started++ % router_count;
        claims::claim_request new_request;
        new_request.request = {{index}, {static_cast<std::uint64_t>(this->rate)}, this->started};
        new_request.organisation = {1};
        new_request.key = "rate" + std::to_string(this->rate) + "/" + std::to_string(this->started);
        new_request.deadline = this->loop.time().now() + std::chrono::seconds(5);
        const auto requested_at = this->loop.time().now();
        auto& manager = this->routers[index]->manager;
        manager.claim(new_request, [this, new_request, requested_at,
                                    &manager](const claims::claim_result& reply) {
            if (reply.verdict != claims::claim_verdict::claimed) {
                ++this->rejected;
                return;
            }
            this->latencies.push_back(to_milliseconds(this->loop.time().now() - requested_at));
            manager.complete(new_request);
        });
    }

    void finish(double seconds) {
        const auto base = "claims_" + std::to_string(this->rate) + "_per_second_";
        const auto baseline = "no claim: 0 ms, 0 writes";
        const auto line = [&](const char* name, double value, const char* unit) {
            report((base + name).c_str(), value, unit, baseline);
        };
        line("latency_p50", percentile(this->latencies, 0.5), "ms");
        line("latency_p99", percentile(this->latencies, 0.99), "ms");
        line("latency_max", percentile(this->latencies, 1), "ms");
        line("claimed", static_cast<double>(this->latencies.size()), "requests");
        line("refused", static_cast<double>(this->rejected), "requests");
        line("store_writes", static_cast<double>(this->objects.usage.writes) / seconds, "1/s");
        line("store_bytes", static_cast<double>(this->objects.usage.bytes_written) / seconds,
             "B/s");
        this->done();
    }

    http::event_loop& loop;
    bench::counting_store& objects;
    store::journal_store journals;
    bench::local_network network;
    int rate;
    kernel::task done;
    std::vector<std::unique_ptr<bench_router>> routers;
    helpers::time_point started_at{};
    std::uint64_t started = 0;
    std::uint64_t rejected = 0;
    std::vector<double> latencies;
};

class no_network final : public config::configuration_network {
public:
    void send(const helpers::endpoint&, const config::configuration_message&) override {}
    void set_receiver(receiver) override {}
};

config::organisation_definition organisation(std::size_t number) {
    config::organisation_definition result;
    const auto digits = std::to_string(number);
    result.name = "organisation-" + digits;
    result.api_key_hash = std::string(64 - digits.size(), '0') + digits;
    return result;
}

// Imports the organisations in one change, then makes small changes one after the other.
class change_run {
public:
    change_run(http::event_loop& loop, bench::counting_store& objects, kernel::task done)
        : loop(loop),
          objects(objects),
          directory(identity(0), {}),
          random(1),
          done(std::move(done)),
          configuration(loop, this->random, this->events, objects, this->network, this->directory,
                        settings()) {}

    void start() {
        this->configuration.start();
        this->wait_until_ready();
    }

private:
    static store::configuration_store_settings settings() {
        store::configuration_store_settings result;
        result.writer.writer = "bench";
        result.writer.deadline = std::chrono::seconds(30);
        return result;
    }

    void wait_until_ready() {
        if (this->configuration.current() != nullptr) {
            this->import_all();
            return;
        }
        this->loop.schedule(std::chrono::milliseconds(10), [this] { this->wait_until_ready(); });
    }

    void import_all() {
        config::replace_all body{config::initial_configuration()};
        for (std::size_t i = 0; i < organisation_count; ++i) {
            auto each = organisation(i);
            body.replacement.organisations.emplace(each.name, each);
        }
        this->change(std::move(body), "import_36000_organisations",
                     [this] { this->change_next(); });
    }

    void change_next() {
        if (this->changes++ == small_changes) {
            report("small_change_latency_p50", percentile(this->latencies, 0.5), "ms",
                   "target: in force within 4000 ms");
            report("small_change_latency_max", percentile(this->latencies, 1), "ms",
                   "target: in force within 4000 ms");
            report("small_change_writes", static_cast<double>(this->last.writes), "calls",
                   "whole configuration: 257");
            report("small_change_bytes", static_cast<double>(this->last.bytes_written), "B",
                   "see import_36000_organisations_bytes");
            this->done();
            return;
        }
        auto definition = organisation(static_cast<std::size_t>(this->changes) * 997);
        definition.weight = 2;
        this->change(config::put_organisation{definition}, "", [this] { this->change_next(); });
    }

    void change(config::change_body body, const std::string& name, kernel::task next) {
        config::change_request new_request;
        new_request.body = std::move(body);
        this->objects.usage = {};
        const auto requested_at = this->loop.time().now();
        this->configuration.change(
            std::move(new_request), [this, requested_at, name,
                                     next = std::move(next)](const config::change_result& result) {
                const auto elapsed_ms = to_milliseconds(this->loop.time().now() - requested_at);
                this->last = this->objects.usage;
                if (result.status != config::change_status::accepted)
                    report("change_not_accepted", static_cast<double>(result.status), "status",
                           "0");
                if (name.empty())
                    this->latencies.push_back(elapsed_ms);
                else
                    this->report_import(name, elapsed_ms);
                next();
            });
    }

    void report_import(const std::string& name, double elapsed_ms) const {
        report((name + "_time").c_str(), elapsed_ms, "ms", "none");
        report((name + "_bytes").c_str(), static_cast<double>(this->last.bytes_written), "B",
               "none");
    }

    http::event_loop& loop;
    bench::counting_store& objects;
    bench::static_directory directory;
    no_network network;
    kernel::null_sink events;
    kernel::random_source random;
    kernel::task done;
    store::configuration_store configuration;
    int changes = 0;
    bench::store_usage last;
    std::vector<double> latencies;
};

} // namespace

int main(int argc, char** argv) {
    const auto address = argc > 1 ? helpers::parse_endpoint(argv[1]) : std::nullopt;
    if (!address) {
        std::cerr << "usage: bench-claims IP:PORT (address of the platform stand-in)\n";
        return 2;
    }
    http::event_loop loop;
    http::h2o_client client(loop, {});
    store::http_store_settings settings;
    settings.address = *address;
    store::http_object_store http_store(loop, client, settings);
    bench::counting_store objects(http_store);
    change_run changes(loop, objects, [&loop] { loop.stop(); });
    rate_run fast(loop, objects, 1000, [&changes] { changes.start(); });
    rate_run medium(loop, objects, 100, [&fast] { fast.start(); });
    rate_run slow(loop, objects, 10, [&medium] { medium.start(); });
    slow.start();
    loop.run();
    return 0;
}
