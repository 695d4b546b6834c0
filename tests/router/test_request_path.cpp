// A request's way through the router: whole answers, and what late, crossed, duplicated, truncated
// or missing answers of targets lead to.
#include "tests/router/small_fleet.hpp"

#include <doctest/doctest.h>

using namespace samphirespool;
using tests::request_id_of;
using tests::small_fleet;

namespace {

std::string event(int number) {
    return "data: {\"n\":" + std::to_string(number) + "}\n\n";
}

constexpr std::string_view end_mark = "data: [DONE]\n\n";

http::header_list stream_headers(const http::exchange& incoming) {
    return {{"content-type", "text/event-stream"}, {"x-request-id", request_id_of(incoming)}};
}

void answer(http::exchange& incoming, std::string_view body) {
    incoming.respond(200, {{"x-request-id", request_id_of(incoming)}}, body);
}

bool has(const tests::recorded_answer& answer, std::string_view name, std::string_view value) {
    return http::find_header(answer.headers, name) == value;
}

} // namespace

TEST_CASE("path: a chat goes to an engine and its whole answer comes back") {
    small_fleet fleet;
    const auto& caller = fleet.send(fleet.chat(false));
    const auto at_engine = fleet.next_at_engine();
    REQUIRE(at_engine);
    const auto request = at_engine->request();
    CHECK(request.path == "/v1/chat/completions");
    CHECK(request.body.find("hello") != std::string_view::npos);
    CHECK(http::find_header(request.headers, "x-priority") == "normal");
    CHECK(http::find_header(request.headers, "x-deadline-ms"));
    CHECK_FALSE(http::find_header(request.headers, "authorization"));
    answer(*at_engine, "the answer");
    fleet.wait_for(caller);
    CHECK(caller.done);
    CHECK(caller.status == 200);
    CHECK(caller.body == "the answer");
    CHECK(has(caller, "x-outcome", "answered"));
    CHECK(has(caller, "x-request-id", request_id_of(*at_engine)));
    CHECK(fleet.counters().answered == 1);
}

TEST_CASE("path: a stream is passed on as it comes, up to its end mark") {
    small_fleet fleet;
    const auto& caller = fleet.send(fleet.chat(true));
    const auto at_engine = fleet.next_at_engine();
    at_engine->begin(200, stream_headers(*at_engine));
    at_engine->write(event(1));
    fleet.wait_for([&] { return caller.body == event(1); });
    CHECK(caller.body == event(1));
    SUBCASE("an event in two pieces") {
        at_engine->write(event(2).substr(0, 5));
        at_engine->write(event(2).substr(5) + std::string(end_mark));
        at_engine->finish();
    }
    SUBCASE("a duplicated answer behind the end mark") {
        at_engine->write(event(2) + std::string(end_mark) + event(1) + event(2) +
                         std::string(end_mark));
        at_engine->finish();
    }
    fleet.wait_for(caller);
    CHECK(caller.done);
    CHECK(caller.body == event(1) + event(2) + std::string(end_mark));
}

TEST_CASE("path: an answer of another request reaches nobody") {
    small_fleet fleet;
    const auto& caller = fleet.send(fleet.chat(false));
    const auto crossed = fleet.next_at_engine();
    crossed->respond(200, {{"x-request-id", "another"}}, "not yours");
    const auto second = fleet.next_at_engine();
    REQUIRE(second);
    CHECK(request_id_of(*second) == request_id_of(*crossed));
    answer(*second, "yours");
    fleet.wait_for(caller);
    CHECK(caller.body == "yours");
    CHECK(fleet.counters().crossed_answers == 1);
}

TEST_CASE("path: a crossed answer to a booking is an unknown outcome and is not repeated") {
    small_fleet fleet;
    const auto& caller = fleet.send(fleet.request("POST", "/desk/bookings", "{}"));
    auto& desk = *fleet.services[0];
    fleet.wait_for([&] { return !desk.waiting.empty(); });
    desk.waiting.front()->respond(200, {{"x-request-id", "another"}}, "not yours");
    fleet.wait_for(caller);
    CHECK(caller.status == 502);
    CHECK(has(caller, "x-outcome", "outcome unknown"));
    CHECK(caller.body.find("not yours") == std::string::npos);
    CHECK(desk.received == 1);
}

TEST_CASE("path: an answer that comes after the deadline reaches nobody") {
    small_fleet fleet(1);
    auto request = fleet.chat(false, "first");
    request.headers.push_back({"x-deadline-ms", "50"});
    const auto& late = fleet.send(request);
    const auto slow = fleet.next_at_engine();
    fleet.wait_for(late);
    CHECK(late.status == 504);
    CHECK(has(late, "x-outcome", "outcome unknown"));
    const auto& next = fleet.send(fleet.chat(false, "second"));
    const auto second = fleet.next_at_engine();
    answer(*slow, "too late");
    answer(*second, "second answer");
    fleet.wait_for(next);
    CHECK(next.body == "second answer");
}

TEST_CASE("path: a truncated stream goes on at the same engine behind the events passed") {
    small_fleet fleet;
    const auto& caller = fleet.send(fleet.chat(true));
    auto first = fleet.next_at_engine();
    first->begin(200, stream_headers(*first));
    first->write(event(1) + event(2) + event(3).substr(0, 7));
    fleet.wait_for([&] { return caller.body.size() == 2 * event(1).size(); });
    SUBCASE("the connection breaks") {
        first.reset();
    }
    SUBCASE("the answer ends properly but without its end mark") {
        first->finish();
    }
    const auto second = fleet.next_at_engine();
    REQUIRE(second);
    CHECK(http::find_header(second->request().headers, "x-resume-tokens") == "2");
    second->begin(200, stream_headers(*second));
    second->write(event(3) + std::string(end_mark));
    second->finish();
    fleet.wait_for(caller);
    CHECK(caller.done);
    CHECK(caller.body == event(1) + event(2) + event(3) + std::string(end_mark));
    CHECK(fleet.counters().resumed == 1);
}

TEST_CASE("path: a stream that no engine can go on with is visibly broken") {
    small_fleet fleet(1);
    auto request = fleet.chat(true);
    request.headers.push_back({"x-deadline-ms", "300"});
    const auto& caller = fleet.send(request);
    auto first = fleet.next_at_engine();
    first->begin(200, stream_headers(*first));
    first->write(event(1));
    fleet.wait_for([&] { return caller.body == event(1); });
    fleet.engines[0]->on_request = [](std::unique_ptr<http::exchange> incoming) {
        incoming->respond(500, {{"x-request-id", request_id_of(*incoming)}}, "");
    };
    first.reset();
    fleet.wait_for(caller);
    CHECK_FALSE(caller.done);
    REQUIRE(caller.failure);
    CHECK(caller.body == event(1));
}

TEST_CASE("path: a truncated whole answer is tried again unseen") {
    small_fleet fleet;
    const auto& caller = fleet.send(fleet.chat(false));
    auto first = fleet.next_at_engine();
    first->begin(200, {{"x-request-id", request_id_of(*first)}});
    first->write(std::string_view("half"));
    first.reset();
    const auto second = fleet.next_at_engine();
    answer(*second, "whole");
    fleet.wait_for(caller);
    CHECK(caller.body == "whole");
}

TEST_CASE("path: a booking whose answer is lost runs once and is reported as unknown") {
    small_fleet fleet(1, 2);
    auto request = fleet.request("POST", "/desk/bookings", "{}");
    request.headers.push_back({"idempotency-key", "k1"});
    for (auto& desk : fleet.services)
        desk->on_request = [](std::unique_ptr<http::exchange> incoming) {
            incoming->begin(200, {{"x-request-id", request_id_of(*incoming)}});
        };
    const auto& caller = fleet.send(request);
    fleet.wait_for(caller);
    CHECK(caller.status == 502);
    CHECK(has(caller, "x-outcome", "outcome unknown"));
    const auto& repeated = fleet.send(request);
    fleet.wait_for(repeated);
    CHECK(repeated.status == 409);
    CHECK(has(repeated, "x-outcome", "outcome unknown"));
    CHECK(fleet.services[0]->received + fleet.services[1]->received == 1);
}

TEST_CASE("path: a booking on a target that cannot be reached goes to the next one") {
    small_fleet fleet(1, 2);
    const auto unreachable = fleet.services[0]->server->port();
    fleet.services[0]->server.reset();
    CHECK(unreachable != 0);
    for (int i = 0; i < 8; ++i) {
        const auto& caller = fleet.send(fleet.request("POST", "/desk/bookings", "{}"));
        fleet.wait_for([&] { return !fleet.services[1]->waiting.empty(); });
        REQUIRE_FALSE(fleet.services[1]->waiting.empty());
        answer(*fleet.services[1]->waiting.front(), "booked");
        fleet.services[1]->waiting.clear();
        fleet.wait_for(caller);
        CHECK(caller.body == "booked");
    }
    CHECK(fleet.services[1]->received == 8);
}

TEST_CASE("path: a caller that departs cancels the engine's work") {
    for (const bool begun : {false, true}) {
        small_fleet fleet;
        const auto& caller = fleet.send(fleet.chat(true));
        const auto at_engine = fleet.next_at_engine();
        bool cancelled = false;
        at_engine->on_departed([&] { cancelled = true; });
        if (begun) {
            at_engine->begin(200, stream_headers(*at_engine));
            at_engine->write(event(1));
            fleet.wait_for([&] { return !caller.body.empty(); });
        }
        fleet.calls.clear();
        fleet.wait_for([&] { return cancelled; });
        CHECK(cancelled);
        fleet.wait_for([&] { return fleet.router->front().handler().live() == 0; });
        CHECK(fleet.counters().departed == 1);
        CHECK(fleet.received_by_engines() == 1);
    }
}

TEST_CASE("path: refusals say what happened") {
    small_fleet fleet;
    auto anonymous = fleet.chat(false);
    anonymous.headers.clear();
    auto malformed = fleet.chat(false);
    malformed.body = "{\"model\":";
    auto late = fleet.chat(false);
    late.headers.push_back({"x-deadline-ms", "soon"});
    struct refusal_case {
        http::client_request request;
        int status;
        std::string_view code;
    };
    const refusal_case cases[] = {
        {anonymous, 401, "unauthorized"},
        {malformed, 400, "bad_request"},
        {late, 400, "bad_request"},
        {fleet.request("GET", "/nowhere"), 404, "unknown_service"},
    };
    for (const auto& each : cases) {
        const auto& caller = fleet.send(each.request);
        fleet.wait_for(caller);
        CHECK(caller.status == each.status);
        CHECK(has(caller, "x-outcome", "not run"));
        CHECK(caller.body.find(each.code) != std::string::npos);
    }
    CHECK(fleet.received_by_engines() == 0);
}

TEST_CASE("path: an engine's error is tried elsewhere, and an unknown outcome if all fail") {
    small_fleet fleet;
    const auto& caller = fleet.send(fleet.chat(false));
    const auto first = fleet.next_at_engine();
    first->respond(500, {{"x-request-id", request_id_of(*first)}}, "first error");
    const auto second = fleet.next_at_engine();
    REQUIRE(second);
    SUBCASE("the other engine answers") {
        answer(*second, "the answer");
        fleet.wait_for(caller);
        CHECK(caller.status == 200);
        CHECK(caller.body == "the answer");
    }
    SUBCASE("the other engine fails, too") {
        second->respond(500, {{"x-request-id", request_id_of(*second)}}, "second error");
        fleet.wait_for(caller);
        CHECK(caller.status == 502);
        CHECK(has(caller, "x-outcome", "outcome unknown"));
    }
    CHECK(fleet.counters().retried >= 1);
}

TEST_CASE("path: an organisation over its limit waits for itself and for nobody else") {
    small_fleet fleet;
    auto limited = fleet.chat(false);
    limited.headers[0].value = "Bearer key-of-limited";
    const auto& first = fleet.send(limited);
    const auto running = fleet.next_at_engine();
    const auto& second = fleet.send(limited);
    const auto& other = fleet.send(fleet.chat(false));
    const auto of_other = fleet.next_at_engine();
    REQUIRE(of_other);
    answer(*of_other, "other");
    fleet.wait_for(other);
    CHECK(fleet.received_by_engines() == 2);
    CHECK_FALSE(second.ended());
    answer(*running, "first");
    fleet.wait_for(first);
    const auto of_second = fleet.next_at_engine();
    REQUIRE(of_second);
    answer(*of_second, "second");
    fleet.wait_for(second);
    CHECK(second.body == "second");
}

TEST_CASE("path: streams run to their end while the router leaves; new requests are refused") {
    small_fleet fleet;
    std::vector<const tests::recorded_answer*> callers;
    std::vector<std::unique_ptr<http::exchange>> at_engines;
    for (int i = 0; i < 20; ++i) {
        callers.push_back(&fleet.send(fleet.chat(true, "chat " + std::to_string(i))));
        at_engines.push_back(fleet.next_at_engine());
        at_engines.back()->begin(200, stream_headers(*at_engines.back()));
        at_engines.back()->write(event(i));
    }
    bool left = false;
    fleet.router->shut_down([&] { left = true; });
    const auto& health = fleet.send(fleet.request("GET", "/healthz"));
    const auto& refused = fleet.send(fleet.chat(false));
    fleet.wait_for(health);
    fleet.wait_for(refused);
    CHECK(health.status == 503);
    CHECK(refused.status == 503);
    CHECK(has(refused, "x-outcome", "not run"));
    CHECK_FALSE(left);
    for (auto& each : at_engines) {
        each->write(end_mark);
        each->finish();
    }
    fleet.wait_for([&] { return left; });
    CHECK(left);
    for (const auto* caller : callers)
        fleet.wait_for(*caller);
    for (std::size_t i = 0; i < callers.size(); ++i)
        CHECK(callers[i]->body == event(static_cast<int>(i)) + std::string(end_mark));
}
