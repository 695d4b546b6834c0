// The HTTP/1.1 client on h2o, with a pool of idle connections for each target.
#pragma once

#include "http/client.hpp"
#include "http/event_loop.hpp"

#include <map>
#include <memory>

namespace samphirespool::http {

struct client_limits {
    helpers::duration connect_timeout = std::chrono::seconds(2);
    helpers::duration first_byte_timeout = std::chrono::seconds(60);
    helpers::duration idle_timeout = std::chrono::seconds(60);
    // Maximum number of idle connections in the pool of one target.
    std::size_t pooled_per_target = 256;
    // Time for which an idle connection is kept.
    helpers::duration pooled_for = std::chrono::seconds(20);
};

class h2o_client final : public client {
public:
    h2o_client(event_loop& loop, const client_limits& limits);
    // All calls must have been destroyed before.
    ~h2o_client() override;
    h2o_client(const h2o_client&) = delete;
    h2o_client& operator=(const h2o_client&) = delete;

    std::unique_ptr<client_call> start(const client_request& request,
                                       response_listener& listener) override;

    // Of the responses to all calls.
    const kernel::response_fault_counts& faults() const { return this->fault_counts; }

private:
    struct pool_deleter {
        void operator()(h2o_socketpool_t* pool) const;
    };

    h2o_socketpool_t& pool_for(const helpers::endpoint& target);

    event_loop& loop;
    client_limits limits;
    kernel::response_fault_counts fault_counts;
    h2o_timeout_t io_timeout{};
    h2o_http1client_ctx_t context{};
    std::map<helpers::endpoint, std::unique_ptr<h2o_socketpool_t, pool_deleter>> pools;
};

} // namespace samphirespool::http
