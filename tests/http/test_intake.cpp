// Tests of requests while they arrive, over raw connections: judged by their heads, counted from
// their first byte, and refused before they are complete.
#include "http/descriptor_shares.hpp"
#include "http/h2o_server.hpp"
#include "tests/http/loopback.hpp"
#include "tests/http/raw_caller.hpp"

#include <doctest/doctest.h>

#include <list>

using namespace samphirespool;
using namespace std::chrono_literals;
using tests::raw_caller;
using tests::run_until;

namespace {

constexpr std::size_t kilobyte = 1 << 10;
constexpr std::size_t megabyte = std::size_t{1} << 20;

std::string head(std::string_view fields, std::string_view path = "/a") {
    return "POST " + std::string(path) + " HTTP/1.1\r\nHost: a\r\n" + std::string(fields) +
           "\r\n\r\n";
}

// Refuses the path /unknown, and records the heads and events.
class recording_policy final : public http::intake_policy {
public:
    http::request_limits limits() const override { return this->fixed; }
    http::head_decision judge(const http::server_request& judged) const override {
        ++this->judged;
        http::head_decision result;
        if (judged.path == "/unknown") {
            result.refusal.emplace();
            result.refusal->reason = {kernel::error_kind::unauthorized, "unknown"};
        }
        return result;
    }
    void on_event(const http::intake_event& event) override {
        this->events.emplace_back(event.reason);
    }

    http::request_limits fixed;
    mutable int judged = 0;
    std::vector<std::string> events;
};

struct intake_fixture {
    intake_fixture() { this->policy.fixed.max_body_bytes = megabyte; }

    void start(std::size_t memory = 0, std::size_t max_connections = 100) {
        this->budget = admission::memory_budget(memory);
        http::server_limits limits;
        limits.max_connections = max_connections;
        kernel::error reason;
        this->server = http::h2o_server::listen(
            {this->loop, this->policy, this->account}, {"127.0.0.1", 0}, limits,
            [this](std::unique_ptr<http::exchange> incoming) {
                this->bodies.emplace_back(incoming->request().body);
                this->arrived_at = incoming->arrived_at();
                this->held_in_handler = this->account.used();
                if (this->keeps)
                    this->kept.push_back(std::move(incoming));
                else
                    incoming->respond(200, {}, "ok");
            },
            reason);
        REQUIRE(this->server != nullptr);
    }
    raw_caller& connect() { return this->callers.emplace_back(this->server->port()); }
    // Sends the text and reads until the caller has got `expected` or the connection has ended.
    std::string answer_to(const std::string& text, std::string_view expected = "ok") {
        auto& caller = this->connect();
        caller.send(text);
        this->wait_for(caller, expected);
        return caller.text();
    }
    void wait_for(raw_caller& caller, std::string_view expected) {
        run_until(this->loop, [&] {
            return caller.read_to_end() || caller.text().find(expected) != std::string::npos;
        });
    }

    http::event_loop loop;
    recording_policy policy;
    admission::memory_budget budget{0};
    http::memory_account account{this->budget, this->loop.time()};
    std::unique_ptr<http::h2o_server> server;
    std::list<raw_caller> callers;
    std::vector<std::string> bodies;
    std::list<std::unique_ptr<http::exchange>> kept;
    std::optional<helpers::time_point> arrived_at;
    std::size_t held_in_handler = 0;
    bool keeps = false;
};

} // namespace

// Guards against bodies that are received although nothing can be done with them.
TEST_CASE_FIXTURE(intake_fixture, "intake: requests are refused by their heads alone") {
    this->start();
    const auto is_refused = [&](const std::string& text, std::string_view status) {
        const auto answer = this->answer_to(text, "}}");
        CAPTURE(answer);
        CHECK(answer.starts_with("HTTP/1.1 " + std::string(status)));
        CHECK(answer.find("\"outcome\":\"not run\"") != std::string::npos);
        CHECK(answer.find("onnection: close") != std::string::npos);
    };
    is_refused(head("Content-Length: 1000000000000"), "413");
    is_refused(head("Content-Length: 10", "/unknown"), "401");
    is_refused(head("Transfer-Encoding: chunked", "/unknown"), "401");
    is_refused("GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(40 * kilobyte, 'y'), "431");
    is_refused(head("Transfer-Encoding: chunked") + "110000\r\n" + std::string(megabyte + 1, 'x'),
               "413");
    CHECK(this->bodies.empty());
    CHECK(this->account.used() == 0);
}

TEST_CASE_FIXTURE(intake_fixture,
                  "intake: requests that are whole are judged by the handler only") {
    this->start();
    CHECK(this->answer_to(head("Content-Length: 5", "/unknown") + "hello").ends_with("ok"));
    CHECK(this->policy.judged == 0);
    CHECK(this->bodies == std::vector<std::string>{"hello"});
}

// Guards against a caller that waits for ever before it sends its body.
TEST_CASE_FIXTURE(intake_fixture, "intake: a caller that expects an interim response gets it") {
    this->start();
    auto& caller = this->connect();
    caller.send(head("Expect: 100-continue\r\nContent-Length: 5"));
    this->wait_for(caller, "100 Continue");
    caller.send("hello");
    this->wait_for(caller, "ok");
    CHECK(this->bodies == std::vector<std::string>{"hello"});
    CHECK(caller.text().find("HTTP/1.1 200") != std::string::npos);
}

TEST_CASE_FIXTURE(intake_fixture, "intake: requests in a row keep their bodies apart") {
    this->start();
    auto& caller = this->connect();
    caller.send(head("Content-Length: 5") + "hello" + head("Transfer-Encoding: chunked") +
                "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n" + "GET /b HTTP/1.1\r\nHost: a\r\n\r\n" +
                head("Content-Length: 3") + "end");
    run_until(this->loop, [&] {
        caller.read_to_end();
        return this->bodies.size() == 4;
    });
    CHECK(this->bodies == std::vector<std::string>{"hello", "abcde", "", "end"});
}

// Guards against a request that is counted only once it is complete.
TEST_CASE_FIXTURE(intake_fixture, "intake: a request counts from its first byte to its end") {
    this->start(64 * megabyte);
    this->keeps = true;
    auto& caller = this->connect();
    caller.send("POST /a HTTP/1.1\r\nHost: a\r\n");
    run_until(this->loop, [&] { return this->account.used() > 0; });
    caller.send("Content-Length: 500000\r\n\r\nx");
    run_until(this->loop, [&] { return this->account.used() >= 500'000; });
    caller.send(std::string(499'999, 'x'));
    run_until(this->loop, [&] { return !this->kept.empty(); });
    REQUIRE(this->bodies.size() == 1);
    CHECK(this->bodies.front().size() == 500'000);
    CHECK(this->held_in_handler >= 500'000);
    CHECK(this->held_in_handler < 520'000);
    this->kept.front()->hold(100'000);
    CHECK(this->account.used() >= 600'000);
    this->kept.front()->respond(200, {}, "ok");
    this->kept.clear();
    this->wait_for(caller, "ok");
    for (int i = 0; i < 3; ++i)
        this->loop.run_once();
    CHECK(this->account.used() == 0);
}

// Guards against bodies that stop just short of their end and stay.
TEST_CASE_FIXTURE(intake_fixture, "intake: bodies that stall give way, and small ones are served") {
    this->start(4 * megabyte);
    const auto begun = head("Content-Length: 1000000") + std::string(100'000, 'x');
    std::list<raw_caller*> stalled;
    for (int i = 0; i < 3; ++i) {
        stalled.push_back(&this->connect());
        stalled.back()->send(begun);
    }
    run_until(this->loop, [&] { return this->account.used() >= 3'000'000; });
    const auto refused = this->answer_to(begun, "}}");
    CHECK(refused.starts_with("HTTP/1.1 503"));
    CHECK(refused.find("etry-after") != std::string::npos);
    CHECK(this->account.totals().refused == 1);
    CHECK(this->answer_to(head("Content-Length: 5") + "hello").ends_with("ok"));
    const auto until = this->loop.time().now() + http::memory_account::min_stall + 100ms;
    run_until(this->loop, [&] { return this->loop.time().now() > until; });
    CHECK(this->answer_to(head("Content-Length: 1000000") + std::string(1'000'000, 'x'))
              .ends_with("ok"));
    CHECK(this->account.totals().evicted == 1);
    int answered = 0;
    for (auto* each : stalled) {
        each->read_to_end();
        answered += each->text().starts_with("HTTP/1.1 503") ? 1 : 0;
    }
    CHECK(answered == 1);
}

// Guards against a caller whose connection is reset while it sends its body, before it has read
// that its request has not run.
TEST_CASE_FIXTURE(intake_fixture, "intake: a refusal reaches a caller that sends on for seconds") {
    constexpr auto sending_time = 3s;
    this->start(4 * megabyte);
    this->policy.fixed.max_body_bytes = 8 * megabyte;
    auto& caller = this->connect();
    caller.send(head("Content-Length: 6000000"));
    const auto until = this->loop.time().now() + sending_time;
    while (this->loop.time().now() < until) {
        caller.send(std::string(kilobyte, 'x'));
        const auto next = this->loop.time().now() + 20ms;
        run_until(this->loop, [&] { return this->loop.time().now() > next; });
    }
    this->wait_for(caller, "}}");
    CHECK(caller.text().starts_with("HTTP/1.1 503"));
    CHECK(caller.text().find("\"outcome\":\"not run\"") != std::string::npos);
}

// Guards against connections that send nothing and keep all others out.
TEST_CASE_FIXTURE(intake_fixture,
                  "intake: a connection that has sent nothing makes room for others") {
    this->start(0, 10);
    for (int i = 0; i < 10; ++i)
        this->connect();
    run_until(this->loop, [&] { return this->server->connections() == 10; });
    CHECK(this->answer_to(head("Content-Length: 0")).ends_with("ok"));
    CHECK(this->server->connections() == 10);
    CHECK(this->server->replaced_connections() == 1);
    run_until(this->loop, [&] { return this->callers.front().read_to_end(); });
    CHECK(this->callers.front().text().empty());
}

// Guards against the close of connections that their callers come back to.
TEST_CASE_FIXTURE(intake_fixture, "intake: connections in use are kept, and one more is refused") {
    this->start(0, 4);
    for (int i = 0; i < 2; ++i) {
        auto& idle = this->connect();
        idle.send(head("Content-Length: 0"));
        this->wait_for(idle, "ok");
    }
    this->keeps = true;
    for (int i = 0; i < 2; ++i)
        this->connect().send(head("Content-Length: 5") + "begun");
    run_until(this->loop, [&] { return this->kept.size() == 2; });
    CHECK(this->answer_to(head("Content-Length: 0"), "}}").starts_with("HTTP/1.1 503"));
    CHECK(this->server->refused_connections() == 1);
    CHECK(this->server->replaced_connections() == 0);
    this->callers.front().send(head("Content-Length: 4") + "more");
    run_until(this->loop, [&] { return this->kept.size() == 3; });
    CHECK(this->bodies.back() == "more");
}

// Guards against connections that are kept by a part of a request.
TEST_CASE_FIXTURE(intake_fixture, "intake: a request that has stalled makes room for others") {
    this->start(0, 2);
    auto& stalled = this->connect();
    stalled.send(head("Content-Length: 10") + "begun");
    this->connect().send("POST /a HTTP/1.1\r\nHo");
    run_until(this->loop, [&] { return this->policy.judged == 1; });
    const auto until = this->loop.time().now() + 1100ms;
    run_until(this->loop, [&] { return this->loop.time().now() > until; });
    CHECK(this->answer_to(head("Content-Length: 0")).ends_with("ok"));
    this->wait_for(stalled, "}}");
    CHECK(stalled.text().starts_with("HTTP/1.1 503"));
    CHECK(this->server->replaced_connections() == 1);
    CHECK(this->server->connections() == 2);
}

// Guards against targets that are handed time which the caller has used up for sending its body.
TEST_CASE_FIXTURE(intake_fixture, "intake: a request has arrived with its first byte") {
    this->start();
    auto& caller = this->connect();
    caller.send("POST /a HTTP/1.1\r\n");
    run_until(this->loop, [&] { return this->account.used() > 0; });
    const auto begun = this->loop.time().now();
    run_until(this->loop, [&] { return this->loop.time().now() > begun + 300ms; });
    caller.send("Host: a\r\nContent-Length: 5\r\n\r\nhello");
    this->wait_for(caller, "ok");
    REQUIRE(this->arrived_at);
    CHECK(*this->arrived_at <= begun);
}

// Guards against bytes that arrive while an interim response is written and are lost.
TEST_CASE_FIXTURE(intake_fixture, "intake: requests behind one that expects an interim response") {
    this->start();
    auto& caller = this->connect();
    caller.send(head("Expect: 100-continue\r\nContent-Length: 5") + "hel");
    this->wait_for(caller, "100 Continue");
    caller.send("lo" + head("Content-Length: 6") + "second" + head("Content-Length: 5") + "third");
    run_until(this->loop, [&] { return this->bodies.size() == 3; });
    CHECK(this->bodies == std::vector<std::string>{"hello", "second", "third"});
}

TEST_CASE_FIXTURE(intake_fixture, "intake: a head and a body each have their time") {
    this->policy.fixed.header_timeout = 500ms;
    this->policy.fixed.body_timeout = 10s;
    this->policy.fixed.body_stall_timeout = 3s;
    this->start();
    auto& slow_head = this->connect();
    slow_head.send("POST /a HTTP/1.1\r\nHost:");
    auto& slow_body = this->connect();
    slow_body.send(head("Content-Length: 10") + "begun");
    this->wait_for(slow_head, "}}");
    CHECK(slow_head.text().starts_with("HTTP/1.1 408"));
    CHECK_FALSE(slow_body.read_to_end());
    slow_body.send("ended");
    this->wait_for(slow_body, "ok");
    CHECK(this->bodies == std::vector<std::string>{"begunended"});
    auto& stalled = this->connect();
    stalled.send(head("Content-Length: 10") + "begun");
    this->wait_for(stalled, "}}");
    CHECK(stalled.text().starts_with("HTTP/1.1 408"));
}

TEST_CASE("descriptors: the shares leave a quarter to the process's own connections") {
    for (const std::size_t limit : {64, 512, 1024, 4100, 20'000}) {
        const auto shares = http::shares_of(limit);
        CHECK(shares.callers + shares.peers + 2 * shares.others <= limit * 3 / 4);
        CHECK(shares.reserved_from <= limit - limit / 4);
        CHECK(shares.others >= 1);
    }
    CHECK(http::shares_of(4100).callers >= 2000);
    CHECK(http::descriptor_limit(100) == 100);
}
