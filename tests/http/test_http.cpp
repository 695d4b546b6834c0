// The HTTP server and client against each other over real sockets.
#include "http/socket_address.hpp"
#include "tests/http/loopback.hpp"

#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

using namespace samphirespool;
using tests::recording_listener;
using tests::run_until;

namespace {

http::client_request request_to(const http::h2o_server& server, std::string path) {
    http::client_request request;
    request.to = {"127.0.0.1", server.port()};
    request.method = "POST";
    request.path = std::move(path);
    return request;
}

} // namespace

TEST_CASE("http: a body goes there and back, also over a pooled connection") {
    http::event_loop loop;
    auto server = tests::serve(loop, [](std::unique_ptr<http::exchange> incoming) {
        const auto request = incoming->request();
        CHECK(request.path == "/echo");
        CHECK(request.query == "a=1");
        CHECK(http::find_header(request.headers, "x-thing") == "value");
        incoming->respond(201, {{"x-answer", "yes"}}, std::string(request.body));
    });
    http::h2o_client client(loop, {});
    for (const bool fresh : {false, false, true}) {
        auto request = request_to(*server, "/echo?a=1");
        request.headers.push_back({"x-thing", "value"});
        request.body = std::string(300'000, 'b');
        request.requires_new_connection = fresh;
        recording_listener answer;
        const auto call = client.start(request, answer);
        run_until(loop, [&] { return answer.ended(); });
        CHECK(answer.done);
        CHECK(answer.status == 201);
        CHECK(answer.body == request.body);
        CHECK(http::find_header(answer.headers, "x-answer") == "yes");
    }
    run_until(loop, [&] { return server->connections() <= 1; });
    CHECK(server->connections() == 1);
}

TEST_CASE("http: a streamed answer arrives whole and in parts") {
    http::event_loop loop;
    std::unique_ptr<http::exchange> open;
    auto server = tests::serve(loop, [&](std::unique_ptr<http::exchange> incoming) {
        open = std::move(incoming);
        open->begin(200, {{"content-type", "text/event-stream"}});
    });
    http::h2o_client client(loop, {});
    recording_listener answer;
    const auto call = client.start(request_to(*server, "/"), answer);
    run_until(loop, [&] { return answer.status != 0; });
    CHECK(answer.status == 200);
    for (const std::string part : {"one", "two", "three"}) {
        open->write(part);
        run_until(loop, [&] { return answer.body.ends_with(part); });
    }
    open->finish();
    run_until(loop, [&] { return answer.ended(); });
    CHECK(answer.done);
    CHECK(answer.body == "onetwothree");
}

TEST_CASE("http: an answer that the server gives up is visibly broken") {
    http::event_loop loop;
    std::unique_ptr<http::exchange> open;
    auto server = tests::serve(loop, [&](std::unique_ptr<http::exchange> incoming) {
        open = std::move(incoming);
        open->begin(200, {});
        open->write(std::string_view("part"));
    });
    http::h2o_client client(loop, {});
    recording_listener answer;
    const auto call = client.start(request_to(*server, "/"), answer);
    run_until(loop, [&] { return answer.body == "part"; });
    open.reset();
    run_until(loop, [&] { return answer.ended(); });
    CHECK_FALSE(answer.done);
    REQUIRE(answer.failure);
    CHECK(answer.failure->kind == kernel::error_kind::answer_truncated);
    CHECK(answer.sent);
    CHECK(answer.body == "part");
}

TEST_CASE("http: a request that the server drops unanswered gets no answer") {
    http::event_loop loop;
    auto server =
        tests::serve(loop, [](std::unique_ptr<http::exchange> incoming) { incoming.reset(); });
    http::h2o_client client(loop, {});
    recording_listener answer;
    const auto call = client.start(request_to(*server, "/"), answer);
    run_until(loop, [&] { return answer.ended(); });
    REQUIRE(answer.failure);
    CHECK(answer.status == 0);
    run_until(loop, [&] { return server->connections() == 0; });
    CHECK(server->connections() == 0);
}

TEST_CASE("http: a caller that knows the end only by the close sees a reset instead") {
    http::event_loop loop;
    std::unique_ptr<http::exchange> open;
    auto server = tests::serve(loop, [&](std::unique_ptr<http::exchange> incoming) {
        open = std::move(incoming);
        open->begin(200, {});
        open->write(std::string_view("part"));
    });
    auto address = http::socket_address::of({"127.0.0.1", server->port()});
    const int caller = socket(AF_INET, SOCK_STREAM, 0);
    REQUIRE(connect(caller, address.get(), address.size()) == 0);
    const std::string_view request = "GET / HTTP/1.0\r\n\r\n";
    REQUIRE(send(caller, request.data(), request.size(), 0) ==
            static_cast<ssize_t>(request.size()));
    run_until(loop, [&] { return open != nullptr && open->buffered() == 0; });
    open.reset();
    run_until(loop, [&] { return server->connections() == 0; });
    char buffer[4096];
    ssize_t got = 1;
    while (got > 0)
        got = recv(caller, buffer, sizeof(buffer), 0);
    CHECK(got == -1);
    CHECK(errno == ECONNRESET);
    close(caller);
}

TEST_CASE("http: a call given up once connected sends nothing") {
    struct unwilling final : http::response_listener {
        bool on_connected() override {
            this->connected = true;
            return false;
        }
        void on_head(int, const http::header_list&) override { this->called = true; }
        void on_body(std::span<const char>) override { this->called = true; }
        void on_done() override { this->called = true; }
        void on_failed(const kernel::error&, bool) override { this->called = true; }
        bool connected = false;
        bool called = false;
    };
    http::event_loop loop;
    int received = 0;
    auto server = tests::serve(loop, [&](std::unique_ptr<http::exchange> incoming) {
        ++received;
        incoming->respond(200, {}, "answer");
    });
    http::h2o_client client(loop, {});
    // On a new connection, on a pooled one, and on one outside the pool.
    for (const bool fresh : {false, false, true}) {
        auto request = request_to(*server, "/");
        request.requires_new_connection = fresh;
        unwilling nobody;
        auto given_up = client.start(request, nobody);
        run_until(loop, [&] { return nobody.connected; });
        given_up.reset();
        recording_listener answer;
        const auto call = client.start(request_to(*server, "/"), answer);
        run_until(loop, [&] { return answer.ended(); });
        CHECK(answer.body == "answer");
        CHECK_FALSE(nobody.called);
    }
    CHECK(received == 3);
}

TEST_CASE("http: the server learns that the caller departed, before and during the answer") {
    for (const bool begun : {false, true}) {
        http::event_loop loop;
        std::unique_ptr<http::exchange> open;
        bool departed = false;
        auto server = tests::serve(loop, [&](std::unique_ptr<http::exchange> incoming) {
            open = std::move(incoming);
            open->on_disconnected([&] { departed = true; });
            if (begun)
                open->begin(200, {});
        });
        http::h2o_client client(loop, {});
        recording_listener answer;
        auto call = client.start(request_to(*server, "/"), answer);
        run_until(loop, [&] { return open != nullptr && (!begun || answer.status == 200); });
        call.reset();
        run_until(loop, [&] { return departed; });
        CHECK(departed);
        open->write(std::string_view("too late"));
        open.reset();
        run_until(loop, [&] { return server->connections() == 0; });
        CHECK(server->connections() == 0);
    }
}

TEST_CASE("http: a paused reader stops a fast writer, and gets all of it once resumed") {
    http::event_loop loop;
    std::unique_ptr<http::exchange> open;
    auto server = tests::serve(loop, [&](std::unique_ptr<http::exchange> incoming) {
        open = std::move(incoming);
        open->begin(200, {});
    });
    http::h2o_client client(loop, {});
    recording_listener answer;
    const auto call = client.start(request_to(*server, "/"), answer);
    run_until(loop, [&] { return answer.status != 0; });
    call->pause();
    const std::string block(1'000'000, 'x');
    int drained = 0;
    std::size_t written = 0;
    open->on_drained([&] { ++drained; });
    // Far more than the kernel's buffers hold.
    for (int i = 0; i < 40; ++i, written += block.size())
        open->write(block);
    bool quiet = false;
    loop.schedule(std::chrono::milliseconds(300), [&] { quiet = true; });
    run_until(loop, [&] { return quiet; });
    CHECK(open->buffered() > 10'000'000);
    CHECK(answer.body.size() < 2'000'000);
    call->resume();
    run_until(loop, [&] { return answer.body.size() == written; });
    CHECK(answer.body.size() == written);
    CHECK(drained > 0);
    open->finish();
    run_until(loop, [&] { return answer.ended(); });
    CHECK(answer.done);
}

TEST_CASE("http: a target that cannot be reached provably got nothing; a silent one may have") {
    http::event_loop loop;
    http::h2o_client client(loop, {});
    std::unique_ptr<http::exchange> open;
    auto server = tests::serve(
        loop, [&](std::unique_ptr<http::exchange> incoming) { open = std::move(incoming); });
    auto silent = request_to(*server, "/");
    silent.first_byte_timeout = std::chrono::milliseconds(100);
    recording_listener late;
    const auto first = client.start(silent, late);
    run_until(loop, [&] { return late.ended(); });
    REQUIRE(late.failure);
    CHECK(late.failure->kind == kernel::error_kind::target_failed);
    CHECK(late.sent);
    open.reset();

    const auto closed = request_to(*server, "/");
    server.reset();
    recording_listener refused;
    const auto second = client.start(closed, refused);
    CHECK_FALSE(refused.ended());
    run_until(loop, [&] { return refused.ended(); });
    REQUIRE(refused.failure);
    CHECK(refused.failure->kind == kernel::error_kind::target_unreachable);
    CHECK_FALSE(refused.sent);
}
