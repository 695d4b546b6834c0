// The exchange of the h2o server: a copy of the request's head, its body, and the stream that sends
// the response.
#pragma once

#include "http/response_stream.hpp"
#include "http/server.hpp"

#include <optional>
#include <string>

namespace samphirespool::http {

class h2o_exchange final : public exchange, private response_stream::owner {
public:
    // Takes over the body, which h2o does not have.
    h2o_exchange(h2o_req_t& request, response_stream& stream, std::string body,
                 helpers::time_point arrived);
    ~h2o_exchange() override;
    h2o_exchange(const h2o_exchange&) = delete;
    h2o_exchange& operator=(const h2o_exchange&) = delete;

    server_request request() const override;
    std::optional<helpers::time_point> arrived_at() const override { return this->arrived; }
    void respond(int status, header_list headers, std::string_view body) override;
    void begin(int status, header_list headers) override;
    void write(std::span<const char> data) override;
    void finish() override;
    void close_connection_after() override;
    std::size_t buffered() const override;
    void on_drained(kernel::task work) override { this->drained_handler = std::move(work); }
    void on_disconnected(kernel::task work) override { this->disconnect_handler = std::move(work); }
    void hold(std::size_t bytes) override;
    void on_evicted(kernel::task work) override { this->eviction_handler = std::move(work); }

    // Size of the method, the path and all header fields.
    std::size_t header_bytes() const;

private:
    void stream_drained() override;
    void stream_disconnected() override;
    void stream_destroyed() override { this->stream = nullptr; }
    bool stream_evicted() override;

    // Null after h2o has destroyed the request.
    response_stream* stream;
    std::string method;
    std::string authority;
    // Path and query.
    std::string target;
    std::string body;
    helpers::time_point arrived;
    header_list headers;
    kernel::task drained_handler;
    kernel::task disconnect_handler;
    kernel::task eviction_handler;
    bool is_finished = false;
};

} // namespace samphirespool::http
