// Tests of the checks for ambiguous request heads and malformed responses.
#include "http/request_head.hpp"
#include "http/response_reader.hpp"
#include "http/socket_address.hpp"
#include "tests/http/loopback.hpp"

#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <thread>

using namespace samphirespool;
using http::head_fault;
using tests::run_until;

namespace {

using kernel::response_fault;

// The first fault of a response that arrives in pieces of so many bytes.
response_fault fault_of(std::string_view received, std::size_t piece) {
    http::response_reader reader(false);
    for (std::size_t start = 0; start < received.size(); start += piece) {
        const auto fault = reader.append(received.substr(start, piece));
        if (fault != response_fault::none)
            return fault;
    }
    return response_fault::none;
}

std::string with_fields(std::string_view fields) {
    return "POST /x HTTP/1.1\r\n" + std::string(fields) + "\r\n";
}

// A target that writes fixed bytes to the first connection and then closes it.
class raw_target {
public:
    explicit raw_target(std::string text) {
        this->descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
        auto address = http::socket_address::of({"127.0.0.1", 0});
        REQUIRE(::bind(this->descriptor, address.get(), address.size()) == 0);
        REQUIRE(::listen(this->descriptor, 1) == 0);
        this->port = http::socket_address::local_port(this->descriptor);
        this->worker = std::thread([this, text = std::move(text)] {
            const int peer = ::accept(this->descriptor, nullptr, nullptr);
            std::array<char, 4096> buffer;
            static_cast<void>(::read(peer, buffer.data(), buffer.size()));
            static_cast<void>(::write(peer, text.data(), text.size()));
            ::close(peer);
        });
    }
    ~raw_target() {
        this->worker.join();
        ::close(this->descriptor);
    }
    std::uint16_t port = 0;

private:
    int descriptor;
    std::thread worker;
};

// Runs one call against a raw_target until it has finished.
struct finished_call {
    explicit finished_call(const std::string& text) {
        raw_target target(text);
        http::event_loop loop;
        http::h2o_client client(loop, {});
        http::client_request request;
        request.to = {"127.0.0.1", target.port};
        request.requires_new_connection = true;
        const auto call = client.start(request, this->response);
        run_until(loop, [&] { return this->response.ended(); });
    }
    tests::recording_listener response;
};

} // namespace

TEST_CASE("heads: ambiguous requests are detected") {
    using http::find_head_fault;
    CHECK(find_head_fault(with_fields("Host: a\r\nContent-Length: 1\r\n")) == head_fault::none);
    CHECK(find_head_fault(
              with_fields("Host: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n")) ==
          head_fault::length_and_encoding);
    CHECK(find_head_fault(with_fields("Host: a\r\nContent-Length: 1\r\ncontent-length: 2\r\n")) ==
          head_fault::repeated_length);
    CHECK(find_head_fault(with_fields("X: a\r\n")) == head_fault::no_host);
    CHECK(find_head_fault("GET / HTTP/1.0\r\nX: a\r\n\r\n") == head_fault::none);
    CHECK(find_head_fault(with_fields("Host: a\r\nHost: b\r\n")) == head_fault::repeated_host);
    CHECK(find_head_fault("GET / HTTP/1.1\nHost: a\n\n") == head_fault::bare_line_feed);
    CHECK(find_head_fault(with_fields("Host: a\r\nX: b\r\n c\r\n")) == head_fault::folded_field);
    // The body is not checked.
    CHECK(find_head_fault(with_fields("Host: a\r\n") + "a\nb\r\nHost: c\r\n") == head_fault::none);
}

TEST_CASE(
    "heads: a request with both length and encoding gets 400, and no smuggled request is served") {
    http::event_loop loop;
    int served = 0;
    auto server = tests::serve(loop, [&](std::unique_ptr<http::exchange> incoming) {
        ++served;
        incoming->respond(200, {}, "ok");
    });
    const int peer = ::socket(AF_INET, SOCK_STREAM, 0);
    const auto address = http::socket_address::of({"127.0.0.1", server->port()});
    REQUIRE(::connect(peer, address.get(), address.size()) == 0);
    const std::string text = "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\n"
                             "Host: a\r\n\r\n";
    REQUIRE(::send(peer, text.data(), text.size(), 0) == static_cast<ssize_t>(text.size()));
    std::string received;
    bool closed = false;
    run_until(loop, [&] {
        std::array<char, 4096> buffer;
        const auto count = ::recv(peer, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (count > 0)
            received.append(buffer.data(), static_cast<std::size_t>(count));
        closed = closed || count == 0 || (count < 0 && errno == ECONNRESET);
        return closed;
    });
    ::close(peer);
    CHECK(received.starts_with("HTTP/1.1 400"));
    CHECK(served == 0);
}

TEST_CASE("heads: responses with a malformed length or an unknown encoding are detected") {
    struct judged_response {
        const char* text;
        response_fault fault;
    };
    for (const auto& each : {
             judged_response{"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n", response_fault::none},
             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", response_fault::none},
             {"HTTP/1.1 200 OK\r\nContent-Length: x", response_fault::none},
             {"HTTP/1.1 200 OK\r\nContent-Length: x\r\n", response_fault::framing_fields},
             {"HTTP/1.1 200 OK\r\nContent-Length: 1x\r\n\r\n", response_fault::framing_fields},
             {"HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\n", response_fault::framing_fields},
             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n", response_fault::framing_fields},
         }) {
        CAPTURE(each.text);
        for (const std::size_t piece : {1, 7, 1000})
            CHECK(fault_of(each.text, piece) == each.fault);
    }
}

// Guards against status lines and field lines outside the grammar that are taken for a response.
TEST_CASE("heads: each line of a response is judged, whole or in pieces") {
    struct judged_response {
        const char* text;
        response_fault fault;
    };
    for (const auto& each : {
             judged_response{"HTTP/1.1 000 OK\r\n", response_fault::status_line},
             {"HTTP/1.1 99 OK\r\n", response_fault::status_line},
             {"HTTP/1.1 600 OK\r\n", response_fault::status_line},
             {"HTTP/1.1 101 OK\r\n", response_fault::status_line},
             {"HTTP/1.1 200\r\n", response_fault::status_line},
             {"HTTP/2.0 200 OK\r\n", response_fault::status_line},
             {"HTTP/1.1 200 OK\n", response_fault::status_line},
             {"\r\nHTTP/1.1 200 OK\r\n", response_fault::status_line},
             {"HTTP/1.1 200 \r\nX: \xe4\r\n\r\n", response_fault::none},
             {"HTTP/1.0 599 OK\r\n\r\n", response_fault::none},
             {"HTTP/1.1 200 OK\r\nX y: z\r\n", response_fault::field_line},
             {"HTTP/1.1 200 OK\r\nX : z\r\n", response_fault::field_line},
             {"HTTP/1.1 200 OK\r\nX: y\r\n z\r\n", response_fault::field_line},
             {"HTTP/1.1 103 OK\r\nX\x01: y\r\n", response_fault::field_line},
             {"HTTP/1.1 100 OK\r\n\r\nHTTP/1.1 200 OK\r\nX\r\n", response_fault::field_line},
             {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n", response_fault::framing_fields},
             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0x1\r\n",
              response_fault::chunk},
             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX y: z\r\n",
              response_fault::trailer},
             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: y\r\n\r\n",
              response_fault::none},
         }) {
        CAPTURE(each.text);
        for (const std::size_t piece : {1, 7, 1000})
            CHECK(fault_of(each.text, piece) == each.fault);
    }
}

TEST_CASE(
    "heads: a call fails on malformed and incomplete responses without crashing the process") {
    for (const auto* text : {
             "HTTP/1.1 100 Continue\r\nConnection: keep-alive\r\n\r\n",
             "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\nContent-Length: abc\r\n\r\n",
             "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\nTransfer-Encoding: x\r\n\r\n",
             "garbage that is no answer\r\n\r\n",
             "",
             "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0x5\r\nhello\r\n0\r\n\r\n",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\nhello\n0\n\n",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n00000000000000000\r\n\r\n",
             "HTTP/1.1 200 OK\r\nX: a\x01\r\nContent-Length: 2\r\n\r\nok",
             "HTTP/1.1 200 OK\nContent-Length: 2\n\nok",
             "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok",
         }) {
        CAPTURE(text);
        const finished_call call(text);
        CHECK(call.response.failure.has_value());
        CHECK(call.response.sent);
    }
}

TEST_CASE("heads: a response without a length ends when the connection is closed") {
    const finished_call call("HTTP/1.1 200 OK\r\n\r\nall of it");
    CHECK(call.response.done);
    CHECK(call.response.body == "all of it");
}
