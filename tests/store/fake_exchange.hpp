// An exchange whose request is given and whose answer is kept, for tests of handlers.
#pragma once

#include "http/server.hpp"

#include <optional>
#include <string>
#include <utility>

namespace samphirespool::tests {

struct recorded_response {
    // Nothing until the handler has answered.
    std::optional<int> status;
    std::string body;
    http::header_list headers;
    bool complete = false;
    bool closes_connection = false;
    // True once the handler destroyed the exchange without a complete answer.
    bool broken = false;
    kernel::task disconnect_handler;
};

class fake_exchange final : public http::exchange {
public:
    fake_exchange(std::string method, const std::string& target, std::string body,
                  recorded_response& answer, http::header_list headers = {})
        : method(std::move(method)),
          body(std::move(body)),
          headers(std::move(headers)),
          answer(answer) {
        const auto split = target.find('?');
        this->path = target.substr(0, split);
        if (split != std::string::npos)
            this->query = target.substr(split + 1);
    }
    ~fake_exchange() override { this->answer.broken = !this->answer.complete; }

    http::server_request request() const override {
        return {this->method, "test", this->path, this->query, this->body, this->headers};
    }
    void respond(int status, http::header_list fields, std::string_view text) override {
        this->answer.status = status;
        this->answer.headers = std::move(fields);
        this->answer.body = text;
        this->answer.complete = true;
    }
    void begin(int status, http::header_list fields) override {
        this->answer.status = status;
        this->answer.headers = std::move(fields);
    }
    void close_connection_after() override { this->answer.closes_connection = true; }
    void write(std::span<const char> data) override {
        this->answer.body.append(data.data(), data.size());
    }
    void finish() override { this->answer.complete = true; }
    std::size_t buffered() const override { return 0; }
    void on_drained(kernel::task) override {}
    void on_departed(kernel::task work) override {
        this->answer.disconnect_handler = std::move(work);
    }

private:
    std::string method;
    std::string path;
    std::string query;
    std::string body;
    http::header_list headers;
    recorded_response& answer;
};

} // namespace samphirespool::tests
