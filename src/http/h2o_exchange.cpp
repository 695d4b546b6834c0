// Copies the head out of h2o's memory, which is freed when the caller disconnects.
#include "http/h2o_exchange.hpp"

#include <utility>

namespace samphirespool::http {

namespace {

std::string to_string(const h2o_iovec_t& text) {
    return text.base == nullptr ? std::string() : std::string(text.base, text.len);
}

} // namespace

h2o_exchange::h2o_exchange(h2o_req_t& request, response_stream& stream, std::string body,
                           helpers::time_point arrived)
    : stream(&stream),
      method(to_string(request.input.method)),
      authority(to_string(request.input.authority)),
      target(to_string(request.input.path)),
      body(std::move(body)),
      arrived(arrived) {
    this->headers.reserve(request.headers.size);
    for (std::size_t i = 0; i < request.headers.size; ++i) {
        const auto& field = request.headers.entries[i];
        this->headers.push_back({to_string(*field.name), to_string(field.value)});
    }
    stream.set_owner(this);
}

h2o_exchange::~h2o_exchange() {
    if (this->stream == nullptr)
        return;
    this->stream->set_owner(nullptr);
    if (!this->is_finished)
        this->stream->abort_response();
    this->stream->exchange_destroyed();
}

server_request h2o_exchange::request() const {
    const std::string_view whole = this->target;
    const auto query_start = whole.find('?');
    const auto path = whole.substr(0, query_start);
    const auto query =
        query_start == std::string_view::npos ? std::string_view() : whole.substr(query_start + 1);
    return {this->method, this->authority, path, query, this->body, this->headers};
}

std::size_t h2o_exchange::header_bytes() const {
    std::size_t total = this->method.size() + this->target.size();
    for (const auto& field : this->headers)
        total += field.name.size() + field.value.size();
    return total;
}

void h2o_exchange::respond(int status, header_list headers, std::string_view body) {
    if (this->stream == nullptr || this->stream->begun())
        return;
    this->stream->begin(status, headers, body.size());
    this->stream->write_last(body);
    this->is_finished = true;
}

void h2o_exchange::begin(int status, header_list headers) {
    if (this->stream != nullptr)
        this->stream->begin(status, headers, std::nullopt);
}

void h2o_exchange::write(std::span<const char> data) {
    if (this->stream != nullptr)
        this->stream->write(data);
}

void h2o_exchange::finish() {
    this->is_finished = true;
    if (this->stream != nullptr)
        this->stream->write_last({});
}

void h2o_exchange::close_connection_after() {
    if (this->stream != nullptr)
        this->stream->close_connection_after();
}

std::size_t h2o_exchange::buffered() const {
    return this->stream == nullptr ? 0 : this->stream->buffered();
}

void h2o_exchange::hold(std::size_t bytes) {
    if (this->stream != nullptr)
        this->stream->hold(bytes);
}

bool h2o_exchange::stream_evicted() {
    const auto work = std::exchange(this->eviction_handler, nullptr);
    if (work)
        work();
    return work != nullptr;
}

void h2o_exchange::stream_drained() {
    if (this->drained_handler)
        this->drained_handler();
}

void h2o_exchange::stream_disconnected() {
    const auto work = std::exchange(this->disconnect_handler, nullptr);
    if (work)
        work();
}

} // namespace samphirespool::http
