// Tests of servers whose bytes never form a response, or never end.
#include "tests/http/endless_server.hpp"
#include "tests/http/loopback.hpp"

#include <doctest/doctest.h>

using namespace samphirespool;
using namespace std::chrono_literals;
using tests::endless_server;
using tests::recording_listener;
using tests::run_until;

namespace {

constexpr std::size_t max_bytes = std::size_t{64} << 20;

struct endless_case {
    const char* name;
    std::string start;
    std::string repeated;
};

// Returns whether the call failed and the client closed the connection.
bool fails_and_closes(const endless_case& played, helpers::duration idle_timeout) {
    endless_server server(played.start, played.repeated, max_bytes);
    http::event_loop loop;
    http::h2o_client client(loop, {});
    recording_listener response;
    http::client_request request;
    request.to = {"127.0.0.1", server.port()};
    request.requires_new_connection = true;
    request.first_byte_timeout = 10s;
    request.idle_timeout = idle_timeout;
    const auto call = client.start(request, response);
    run_until(loop, [&] { return response.ended(); });
    run_until(loop, [&] { return server.was_closed(); });
    return response.failure.has_value() && server.was_closed();
}

} // namespace

// Guards against a response head without end that fills the memory.
TEST_CASE("endless responses: a head that does not end fails the call") {
    const std::string line(1000, 'x');
    for (const auto& played :
         {endless_case{"fields", "HTTP/1.1 200 OK\r\n", "x-field: " + line + "\r\n"},
          endless_case{"one field", "HTTP/1.1 200 OK\r\nx-field: ", line},
          endless_case{"reason phrase", "HTTP/1.1 200 ", line},
          endless_case{"no protocol", "", line},
          endless_case{"zero bytes", "", std::string(1000, '\0')}}) {
        CAPTURE(played.name);
        CHECK(fails_and_closes(played, 10s));
    }
}

// Guards against framing without end that counts as progress.
TEST_CASE("endless responses: a body whose framing never yields data stalls") {
    const std::string head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    const std::string line(1000, 'x');
    for (const auto& played : {endless_case{"chunk extension", head + "1;", line},
                               endless_case{"trailers", head + "0\r\n", "x: " + line + "\r\n"}}) {
        CAPTURE(played.name);
        CHECK(fails_and_closes(played, 300ms));
    }
}

// Guards against interim responses without end.
TEST_CASE("endless responses: interim responses that never end fail the call") {
    CHECK(fails_and_closes({"interim", "", "HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\n"}, 10s));
}
