// Tests of the HTTP server and client against each other over real sockets.
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

http::client_request request_to(const http::server& server, std::string path) {
    http::client_request request;
    request.to = {"127.0.0.1", server.port()};
    request.method = "POST";
    request.path = std::move(path);
    return request;
}

} // namespace

TEST_CASE("http: request and response bodies are transferred on new and pooled connections") {
    http::event_loop loop;
    auto server = tests::serve(loop, [](std::unique_ptr<http::exchange> incoming) {
        const auto request = incoming->request();
        CHECK(request.path == "/echo");
        CHECK(request.query == "a=1");
        CHECK(http::find_header(request.headers, "x-thing") == "value");
        incoming->respond(201, {{"x-answer", "yes"}}, std::string(request.body));
    });
    http::h2o_client client(loop, {});
    for (const bool new_connection : {false, false, true}) {
        auto request = request_to(*server, "/echo?a=1");
        request.headers.push_back({"x-thing", "value"});
        request.body = std::string(300'000, 'b');
        request.requires_new_connection = new_connection;
        recording_listener response;
        const auto call = client.start(request, response);
        run_until(loop, [&] { return response.ended(); });
        CHECK(response.done);
        CHECK(response.status == 201);
        CHECK(response.body == request.body);
        CHECK(http::find_header(response.headers, "x-answer") == "yes");
    }
    run_until(loop, [&] { return server->connections() <= 1; });
    CHECK(server->connections() == 1);
}

TEST_CASE("http: the parts of a streamed response are delivered as they are written") {
    http::event_loop loop;
    std::unique_ptr<http::exchange> open;
    auto server = tests::serve(loop, [&](std::unique_ptr<http::exchange> incoming) {
        open = std::move(incoming);
        open->begin(200, {{"content-type", "text/event-stream"}});
    });
    http::h2o_client client(loop, {});
    recording_listener response;
    const auto call = client.start(request_to(*server, "/"), response);
    run_until(loop, [&] { return response.status != 0; });
    CHECK(response.status == 200);
    for (const std::string part : {"one", "two", "three"}) {
        open->write(part);
        run_until(loop, [&] { return response.body.ends_with(part); });
    }
    open->finish();
    run_until(loop, [&] { return response.ended(); });
    CHECK(response.done);
    CHECK(response.body == "onetwothree");
}

TEST_CASE("http: a response that the server aborts is reported as truncated") {
    http::event_loop loop;
    std::unique_ptr<http::exchange> open;
    auto server = tests::serve(loop, [&](std::unique_ptr<http::exchange> incoming) {
        open = std::move(incoming);
        open->begin(200, {});
        open->write(std::string_view("part"));
    });
    http::h2o_client client(loop, {});
    recording_listener response;
    const auto call = client.start(request_to(*server, "/"), response);
    run_until(loop, [&] { return response.body == "part"; });
    open.reset();
    run_until(loop, [&] { return response.ended(); });
    CHECK_FALSE(response.done);
    REQUIRE(response.failure);
    CHECK(response.failure->kind == kernel::error_kind::answer_truncated);
    CHECK(response.sent);
    CHECK(response.body == "part");
}

TEST_CASE("http: a request whose exchange is destroyed before a response fails without one") {
    http::event_loop loop;
    auto server =
        tests::serve(loop, [](std::unique_ptr<http::exchange> incoming) { incoming.reset(); });
    http::h2o_client client(loop, {});
    recording_listener response;
    const auto call = client.start(request_to(*server, "/"), response);
    run_until(loop, [&] { return response.ended(); });
    REQUIRE(response.failure);
    CHECK(response.status == 0);
    run_until(loop, [&] { return server->connections() == 0; });
    CHECK(server->connections() == 0);
}

TEST_CASE(
    "http: an aborted response that would end by the close of the connection is reset instead") {
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
    ssize_t byte_count = 1;
    while (byte_count > 0)
        byte_count = recv(caller, buffer, sizeof(buffer), 0);
    CHECK(byte_count == -1);
    CHECK(errno == ECONNRESET);
    close(caller);
}

TEST_CASE("http: a call cancelled when connected sends nothing") {
    struct cancelling_listener final : http::response_listener {
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
    // On a new connection, on a pooled one, and on a new one outside the pool.
    for (const bool new_connection : {false, false, true}) {
        auto request = request_to(*server, "/");
        request.requires_new_connection = new_connection;
        cancelling_listener cancelled;
        auto cancelled_call = client.start(request, cancelled);
        run_until(loop, [&] { return cancelled.connected; });
        cancelled_call.reset();
        recording_listener response;
        const auto call = client.start(request_to(*server, "/"), response);
        run_until(loop, [&] { return response.ended(); });
        CHECK(response.body == "answer");
        CHECK_FALSE(cancelled.called);
    }
    CHECK(received == 3);
}

TEST_CASE(
    "http: the server is notified when the caller disconnects, before and during the response") {
    for (const bool begun : {false, true}) {
        http::event_loop loop;
        std::unique_ptr<http::exchange> open;
        bool disconnected = false;
        auto server = tests::serve(loop, [&](std::unique_ptr<http::exchange> incoming) {
            open = std::move(incoming);
            open->on_disconnected([&] { disconnected = true; });
            if (begun)
                open->begin(200, {});
        });
        http::h2o_client client(loop, {});
        recording_listener response;
        auto call = client.start(request_to(*server, "/"), response);
        run_until(loop, [&] { return open != nullptr && (!begun || response.status == 200); });
        call.reset();
        run_until(loop, [&] { return disconnected; });
        CHECK(disconnected);
        open->write(std::string_view("too late"));
        open.reset();
        run_until(loop, [&] { return server->connections() == 0; });
        CHECK(server->connections() == 0);
    }
}

TEST_CASE("http: a paused call applies backpressure, and receives everything after it is resumed") {
    http::event_loop loop;
    std::unique_ptr<http::exchange> open;
    auto server = tests::serve(loop, [&](std::unique_ptr<http::exchange> incoming) {
        open = std::move(incoming);
        open->begin(200, {});
    });
    http::h2o_client client(loop, {});
    recording_listener response;
    const auto call = client.start(request_to(*server, "/"), response);
    run_until(loop, [&] { return response.status != 0; });
    call->pause();
    const std::string block(1'000'000, 'x');
    int drained = 0;
    std::size_t written = 0;
    open->on_drained([&] { ++drained; });
    // Far more than the kernel's socket buffers hold.
    for (int i = 0; i < 40; ++i, written += block.size())
        open->write(block);
    bool wait_elapsed = false;
    loop.schedule(std::chrono::milliseconds(300), [&] { wait_elapsed = true; });
    run_until(loop, [&] { return wait_elapsed; });
    CHECK(open->buffered() > 10'000'000);
    CHECK(response.body.size() < 2'000'000);
    call->resume();
    run_until(loop, [&] { return response.body.size() == written; });
    CHECK(response.body.size() == written);
    CHECK(drained > 0);
    open->finish();
    run_until(loop, [&] { return response.ended(); });
    CHECK(response.done);
}

TEST_CASE(
    "http: a call to an unreachable target has sent nothing; a call to a silent one may have") {
    http::event_loop loop;
    http::h2o_client client(loop, {});
    std::unique_ptr<http::exchange> open;
    auto server = tests::serve(
        loop, [&](std::unique_ptr<http::exchange> incoming) { open = std::move(incoming); });
    auto silent = request_to(*server, "/");
    silent.first_byte_timeout = std::chrono::milliseconds(100);
    recording_listener silent_response;
    const auto first = client.start(silent, silent_response);
    run_until(loop, [&] { return silent_response.ended(); });
    REQUIRE(silent_response.failure);
    CHECK(silent_response.failure->kind == kernel::error_kind::target_failed);
    CHECK(silent_response.sent);
    open.reset();

    const auto unreachable = request_to(*server, "/");
    server.reset();
    recording_listener unreachable_response;
    const auto second = client.start(unreachable, unreachable_response);
    CHECK_FALSE(unreachable_response.ended());
    run_until(loop, [&] { return unreachable_response.ended(); });
    REQUIRE(unreachable_response.failure);
    CHECK(unreachable_response.failure->kind == kernel::error_kind::target_unreachable);
    CHECK_FALSE(unreachable_response.sent);
}
