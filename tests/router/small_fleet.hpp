// Test fixture: a standalone router with targets that the test scripts, all on one event loop over
// real sockets.
#pragma once

#include "config/checks.hpp"
#include "kernel/event.hpp"
#include "router/configuration_index.hpp"
#include "router/standalone_router.hpp"
#include "router/static_configuration.hpp"
#include "tests/http/loopback.hpp"

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace samphirespool::tests {

inline constexpr std::string_view api_key = "key-of-hanbit";

// A target that passes each request to `on_request` if that is set, and else queues it for the test
// to respond to.
struct scripted_target {
    explicit scripted_target(http::event_loop& loop) {
        this->server = serve(loop, [this](std::unique_ptr<http::exchange> incoming) {
            ++this->received;
            if (this->on_request)
                this->on_request(std::move(incoming));
            else
                this->waiting.push_back(std::move(incoming));
        });
    }

    std::function<void(std::unique_ptr<http::exchange>)> on_request;
    std::deque<std::unique_ptr<http::exchange>> waiting;
    std::size_t received = 0;
    std::unique_ptr<http::standalone_server> server;
};

inline std::string request_id_of(const http::exchange& incoming) {
    return std::string(http::find_header(incoming.request().headers, "x-request-id").value_or(""));
}

class small_fleet {
public:
    explicit small_fleet(std::size_t engines = 2, std::size_t services = 1)
        : configuration(loop.time(), make_configuration(), {}) {
        for (std::size_t i = 0; i < engines; ++i)
            this->engines.push_back(std::make_unique<scripted_target>(this->loop));
        for (std::size_t i = 0; i < services; ++i)
            this->services.push_back(std::make_unique<scripted_target>(this->loop));
        this->configuration.set_vms(this->make_vms());
        this->settings.name = "router-1";
        this->settings.data_centre = "a";
        this->settings.region = "r";
        this->settings.caller_listen = {"127.0.0.1", 0};
        this->settings.seed = 1;
        this->router = std::make_unique<router::standalone_router>(
            this->loop, this->settings, this->configuration, this->events);
        kernel::error reason;
        this->router->start(reason);
    }

    // Destroys the calls before the recorded responses, which are their listeners.
    ~small_fleet() { this->calls.clear(); }

    http::client_request request(std::string method, std::string path,
                                 std::string body = "") const {
        http::client_request result;
        result.to = {"127.0.0.1", this->router->server().port()};
        result.method = std::move(method);
        result.path = std::move(path);
        result.body = std::move(body);
        result.headers.push_back({"authorization", "Bearer " + std::string(api_key)});
        return result;
    }

    http::client_request chat(bool stream, const std::string& prompt = "hello") const {
        return this->request("POST", "/v1/chat/completions",
                             R"({"model":"m","stream":)" + std::string(stream ? "true" : "false") +
                                 R"(,"messages":[{"role":"user","content":")" + prompt + "\"}]}");
    }

    recording_listener& send(const http::client_request& request) {
        this->responses.push_back(std::make_unique<recording_listener>());
        this->calls.push_back(this->client.start(request, *this->responses.back()));
        return *this->responses.back();
    }

    void wait_for(const std::function<bool()>& condition) { run_until(this->loop, condition); }
    void wait_for(const recording_listener& response) {
        run_until(this->loop, [&] { return response.ended(); });
    }

    // Waits for the next request at any engine. Null if none arrives in time.
    std::unique_ptr<http::exchange> next_at_engine() {
        std::unique_ptr<http::exchange> next;
        this->wait_for([&] {
            for (auto& engine : this->engines)
                if (next == nullptr && !engine->waiting.empty()) {
                    next = std::move(engine->waiting.front());
                    engine->waiting.pop_front();
                }
            return next != nullptr;
        });
        return next;
    }

    std::size_t received_by_engines() const {
        std::size_t total = 0;
        for (const auto& engine : this->engines)
            total += engine->received;
        return total;
    }

    const router::request_counters& counters() const {
        return this->router->server().handler().counters();
    }

    http::event_loop loop;
    kernel::null_sink events;
    std::vector<std::unique_ptr<scripted_target>> engines;
    std::vector<std::unique_ptr<scripted_target>> services;
    router::static_configuration configuration;
    settings::router_settings settings;
    std::unique_ptr<router::standalone_router> router;
    http::h2o_client client{loop, {}};
    std::vector<std::unique_ptr<recording_listener>> responses;
    std::vector<std::unique_ptr<http::client_call>> calls;

private:
    static config::fleet_configuration make_configuration() {
        auto result = config::initial_configuration();
        config::service_definition engine;
        engine.name = "llm";
        engine.models = {"m"};
        engine.path_prefixes = {"/v1/chat"};
        engine.cold_allowance = 64;
        config::service_definition desk;
        desk.name = "desk";
        desk.kind = config::target_kind::service;
        desk.path_prefixes = {"/desk"};
        desk.non_idempotent = {"POST /desk/bookings"};
        desk.cold_allowance = 64;
        result.services = {{"llm", engine}, {"desk", desk}};
        config::organisation_definition hanbit;
        hanbit.name = "hanbit";
        hanbit.api_key_hash = router::sha256_hex(api_key);
        config::organisation_definition limited;
        limited.name = "limited";
        limited.api_key_hash = router::sha256_hex("key-of-limited");
        limited.max_in_flight = 1;
        result.organisations = {{"hanbit", hanbit}, {"limited", limited}};
        return result;
    }

    std::vector<helpers::vm_entry> make_vms() const {
        std::vector<helpers::vm_entry> vms;
        const auto add = [&](const std::string& service, std::size_t number, std::uint16_t port) {
            const auto name = service + "-" + std::to_string(number);
            vms.push_back({"vm-" + name,
                           number % 2 == 0 ? "a" : "b",
                           "r",
                           false,
                           {{name, service, {"127.0.0.1", port}, 1}}});
        };
        for (std::size_t i = 0; i < this->engines.size(); ++i)
            add("llm", i, this->engines[i]->server->port());
        for (std::size_t i = 0; i < this->services.size(); ++i)
            add("desk", i, this->services[i]->server->port());
        return vms;
    }
};

} // namespace samphirespool::tests
