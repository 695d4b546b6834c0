// An HTTP exchange with a given request that records the response, for tests of handlers.
#pragma once

#include "http/server.hpp"

#include <optional>
#include <string>
#include <utility>

namespace samphirespool::tests {

struct recorded_response {
    // Empty until the handler has responded.
    std::optional<int> status;
    std::string body;
    http::header_list headers;
    bool complete = false;
    bool closes_connection = false;
    // True once the handler has destroyed the exchange without a complete response.
    bool broken = false;
    // Bytes of the response that the caller has not read, set by a test.
    std::size_t unread = 0;
    // Set by the handler; a test runs them to simulate that the caller disconnects, or that it has
    // read all.
    kernel::task disconnect_handler;
    kernel::task drained_handler;
    kernel::task eviction_handler;
    // Bytes that the handler holds besides the request.
    std::size_t held = 0;
};

class fake_exchange final : public http::exchange {
public:
    fake_exchange(std::string method, const std::string& target, std::string body,
                  recorded_response& response, http::header_list headers = {})
        : method(std::move(method)),
          body(std::move(body)),
          headers(std::move(headers)),
          response(response) {
        const auto split = target.find('?');
        this->path = target.substr(0, split);
        if (split != std::string::npos)
            this->query = target.substr(split + 1);
    }
    ~fake_exchange() override { this->response.broken = !this->response.complete; }

    http::server_request request() const override {
        return {this->method, "test", this->path, this->query, this->body, this->headers};
    }
    void respond(int status, http::header_list fields, std::string_view text) override {
        this->response.status = status;
        this->response.headers = std::move(fields);
        this->response.body = text;
        this->response.complete = true;
    }
    void begin(int status, http::header_list fields) override {
        this->response.status = status;
        this->response.headers = std::move(fields);
    }
    void close_connection_after() override { this->response.closes_connection = true; }
    void write(std::span<const char> data) override {
        this->response.body.append(data.data(), data.size());
    }
    void finish() override { this->response.complete = true; }
    std::size_t buffered() const override { return this->response.unread; }
    void on_drained(kernel::task work) override {
        this->response.drained_handler = std::move(work);
    }
    void on_disconnected(kernel::task work) override {
        this->response.disconnect_handler = std::move(work);
    }
    void hold(std::size_t bytes) override { this->response.held = bytes; }
    void on_evicted(kernel::task work) override {
        this->response.eviction_handler = std::move(work);
    }

private:
    std::string method;
    std::string path;
    std::string query;
    std::string body;
    http::header_list headers;
    recorded_response& response;
};

} // namespace samphirespool::tests
