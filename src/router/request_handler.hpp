// Takes callers' requests in: health, reading, refusal while starting or leaving, and the table of
// requests in progress.
#pragma once

#include "http/server.hpp"
#include "router/request_context.hpp"
#include "router/routed_request.hpp"

#include <memory>
#include <unordered_map>

namespace samphirespool::router {

class request_handler {
public:
    explicit request_handler(const request_context& context) : context(context) {}
    request_handler(const request_handler&) = delete;
    request_handler& operator=(const request_handler&) = delete;

    void handle(std::unique_ptr<http::exchange> incoming);

    // The health check fails while not ready, for instance without peers and store.
    void set_ready(bool value) { this->ready = value; }
    bool is_ready() const { return this->ready && !this->leaving; }

    // From now on the health check fails and new requests are refused; those in progress go on.
    void leave() { this->leaving = true; }
    bool is_leaving() const { return this->leaving; }

    // Ends every request whose answer has not begun.
    void give_up_all();
    std::size_t live() const { return this->requests.size(); }
    const request_counters& counters() const { return this->context.counters; }

private:
    void answer_health(http::exchange& incoming) const;
    void accept(std::unique_ptr<http::exchange> incoming);
    void refuse(http::exchange& incoming, kernel::error reason);

    request_context context;
    std::unordered_map<std::uint64_t, std::unique_ptr<routed_request>> requests;
    std::uint64_t last_sequence = 0;
    bool ready = true;
    bool leaving = false;
};

} // namespace samphirespool::router
