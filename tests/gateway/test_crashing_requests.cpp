// Tests of requests that crash each target that runs them, whatever their prompt.
#include "tests/gateway/gateway_harness.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace samphirespool;
using namespace std::chrono_literals;
using tests::gateway_harness;

namespace {

constexpr helpers::duration step = 20ms;
constexpr helpers::duration run_time = 40ms;
constexpr helpers::duration replacement_delay = 3s;
constexpr helpers::duration stability_window = 3s;
constexpr std::string_view bad_path = "/look/bad";

// Plain targets that crash while they run a request for bad_path, and are replaced by a new
// incarnation after replacement_delay. A crash loses all requests in progress there.
class crashing_service {
public:
    explicit crashing_service(gateway_harness& harness) : harness(harness) {}

    gateway_harness::caller& send(std::string_view path) {
        auto& caller = this->harness.send(std::string(path));
        this->accept();
        return caller;
    }

    void run_for(helpers::duration time) {
        for (helpers::duration passed{}; passed < time; passed += step) {
            this->harness.advance(step);
            this->accept();
            this->finish_runs();
            this->replace();
        }
    }

    helpers::time_point now() { return this->harness.loop.time().now(); }
    bool is_judged() {
        return this->crashes >= 3 && this->now() - this->third_crash_at > stability_window;
    }

    int crashes = 0;
    helpers::time_point third_crash_at{};
    // Requests for bad_path that reached a target later than the stability window after the third
    // crash.
    int bad_arrivals_late = 0;

private:
    struct run {
        tests::scripted_call* call = nullptr;
        std::string target;
        bool is_bad = false;
        helpers::time_point done_at{};
    };

    void accept() {
        for (; this->seen < this->harness.call_count(); ++this->seen) {
            auto& call = *std::next(this->harness.targets.calls.begin(),
                                    static_cast<std::ptrdiff_t>(this->seen));
            if (call.is_cancelled || !call.listener->on_connected())
                continue;
            const bool is_bad = call.request.path == bad_path;
            this->bad_arrivals_late += is_bad && this->is_judged() ? 1 : 0;
            this->runs.push_back(
                {&call, call.header("x-expected-target"), is_bad, this->now() + run_time});
        }
        this->harness.process_events();
    }

    void finish_runs() {
        while (true) {
            const auto done =
                std::find_if(this->runs.begin(), this->runs.end(),
                             [this](const run& each) { return this->now() >= each.done_at; });
            if (done == this->runs.end())
                return;
            const auto finished = *done;
            this->runs.erase(done);
            if (finished.call->is_cancelled)
                continue;
            if (finished.is_bad) {
                this->crash(finished.target);
                finished.call->fail(true);
            } else {
                finished.call->head(200);
                finished.call->body("ok");
                finished.call->listener->on_done();
            }
        }
    }

    void crash(const std::string& target) {
        if (++this->crashes == 3)
            this->third_crash_at = this->now();
        this->harness.catalog.remove(target, this->now());
        this->replacements.push_back(this->now() + replacement_delay);
        for (std::size_t i = 0; i < this->runs.size();) {
            if (this->runs[i].target != target) {
                ++i;
                continue;
            }
            auto* lost = this->runs[i].call;
            this->runs.erase(this->runs.begin() + static_cast<std::ptrdiff_t>(i));
            if (!lost->is_cancelled)
                lost->fail(true);
        }
    }

    void replace() {
        while (!this->replacements.empty() && this->replacements.front() <= this->now()) {
            this->replacements.erase(this->replacements.begin());
            this->harness.catalog.update(
                tests::make_target("r" + std::to_string(++this->last_replacement), "desk"),
                this->now());
        }
    }

    gateway_harness& harness;
    std::size_t seen = 0;
    std::vector<run> runs;
    std::vector<helpers::time_point> replacements;
    int last_replacement = 0;
};

} // namespace

// Guards against one repeated request that crashes a plain target with each attempt: nothing
// connected the losses, since it has no prompt.
TEST_CASE(
    "crashing requests: a request that has crashed three targets reaches at most three more") {
    gateway_harness harness(3);
    crashing_service service(harness);
    for (int i = 0; i < 160; ++i) {
        service.send(bad_path);
        service.run_for(500ms);
    }
    CHECK(service.crashes >= 3);
    CHECK(service.bad_arrivals_late <= 3);
}

// Guards against refusing what a crashing request shares with others: their caller and route.
TEST_CASE("crashing requests: other requests of the same caller and route are served") {
    gateway_harness harness(4);
    crashing_service service(harness);
    int served = 0;
    int asked = 0;
    for (int i = 0; i < 160; ++i) {
        service.send(bad_path);
        auto& sound = service.send("/look/" + std::to_string(i % 20));
        service.run_for(500ms);
        if (!service.is_judged())
            continue;
        ++asked;
        served += sound.response.status == 200 ? 1 : 0;
    }
    CHECK(asked > 100);
    CHECK(served >= asked * 19 / 20);
}

// Guards against copies that are rejected although a trial would show that they are sound.
TEST_CASE("crashing requests: copies are held until one has been tried, and then sent") {
    gateway_harness harness(3);
    harness.send("/look/1");
    harness.last_call().respond(200, "ok");
    harness.process_events();
    const auto digest =
        std::stoull(harness.events.last("request.ended")->text("digest"), nullptr, 16);
    const admission::suspect_list suspects{{digest, admission::request_depth}};
    for (std::uint32_t target = 1; target <= 3; ++target) {
        harness.advance(20ms);
        harness.crashes.on_target_lost(suspects, target, false,
                                       gateway::crash_guard::verdict::admitted);
    }
    const auto calls = harness.call_count();
    auto& first = harness.send("/look/1");
    auto& second = harness.send("/look/1");
    CHECK(harness.call_count() == calls);
    CHECK_FALSE(first.response.status.has_value());
    for (int i = 0; i < 30 && harness.call_count() == calls; ++i)
        harness.advance(40ms);
    REQUIRE(harness.call_count() == calls + 1);
    harness.last_call().respond(200, "ok");
    for (int i = 0; i < 3 && harness.call_count() == calls + 1; ++i)
        harness.advance(40ms);
    REQUIRE(harness.call_count() == calls + 2);
    harness.last_call().respond(200, "ok");
    harness.process_events();
    CHECK(first.response.status == 200);
    CHECK(second.response.status == 200);
}
