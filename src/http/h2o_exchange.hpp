// The server's exchange over h2o: a copy of the request, and the stream that carries the answer.
#pragma once

#include "http/response_stream.hpp"
#include "http/server.hpp"

#include <string>

namespace samphirespool::http {

class h2o_exchange final : public exchange, private response_stream::owner {
public:
    h2o_exchange(h2o_req_t& request, response_stream& stream);
    ~h2o_exchange() override;
    h2o_exchange(const h2o_exchange&) = delete;
    h2o_exchange& operator=(const h2o_exchange&) = delete;

    server_request request() const override;
    void respond(int status, header_list headers, std::string_view body) override;
    void begin(int status, header_list headers) override;
    void write(std::span<const char> data) override;
    void finish() override;
    void close_connection_after() override;
    std::size_t buffered() const override;
    void on_drained(kernel::task work) override { this->drained = std::move(work); }
    void on_disconnected(kernel::task work) override { this->departed = std::move(work); }

    // Of the request line and all header fields.
    std::size_t header_bytes() const;

private:
    void stream_drained() override;
    void stream_departed() override;
    void stream_gone() override { this->stream = nullptr; }

    // Null once h2o has disposed of the request.
    response_stream* stream;
    std::string method;
    std::string authority;
    // With query.
    std::string target;
    std::string body;
    header_list headers;
    kernel::task drained;
    kernel::task departed;
    bool is_finished = false;
};

} // namespace samphirespool::http
