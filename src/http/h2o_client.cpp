// Keeps a pool of idle connections for each target and starts calls.
#include "http/h2o_client.hpp"

#include "http/h2o_call.hpp"
#include "http/socket_address.hpp"

namespace samphirespool::http {

namespace {

// h2o's own timeout between two events of a call. It also applies to paused calls, so it is set
// high, and h2o_call enforces the real timeouts.
constexpr std::uint64_t io_timeout_ms = 3'600'000;

std::uint64_t to_milliseconds(helpers::duration time) {
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

bool is_v4(const helpers::endpoint& target) {
    return target.ip.find(':') == std::string::npos;
}

} // namespace

void h2o_client::pool_deleter::operator()(h2o_socketpool_t* pool) const {
    h2o_socketpool_dispose(pool);
    delete pool;
}

h2o_client::h2o_client(event_loop& loop, const client_limits& limits) : loop(loop), limits(limits) {
    h2o_timeout_init(loop.native(), &this->io_timeout, io_timeout_ms);
    this->context.loop = loop.native();
    this->context.io_timeout = &this->io_timeout;
}

h2o_client::~h2o_client() {
    this->pools.clear();
    h2o_timeout_dispose(this->loop.native(), &this->io_timeout);
}

h2o_socketpool_t& h2o_client::pool_for(const helpers::endpoint& target) {
    auto& pool = this->pools[target];
    if (pool == nullptr) {
        pool.reset(new h2o_socketpool_t{});
        auto address = socket_address::of(target);
        h2o_socketpool_init_by_address(pool.get(), address.get(), address.size(), 0,
                                       this->limits.pooled_per_target);
        h2o_socketpool_set_timeout(pool.get(), this->loop.native(),
                                   to_milliseconds(this->limits.pooled_for));
    }
    return *pool;
}

std::unique_ptr<client_call> h2o_client::start(const client_request& request,
                                               response_listener& listener) {
    auto call =
        std::make_unique<h2o_call>(this->loop, this->limits, this->fault_counts, request, listener);
    // Without a pool, h2o connects to a host name and can parse only IPv4 addresses without its
    // resolver thread. An IPv6 target uses the pool and relies on `connection: close` instead.
    const bool outside_pool = request.requires_new_connection && is_v4(request.to);
    call->connect(this->context, outside_pool ? nullptr : &this->pool_for(request.to));
    return call;
}

} // namespace samphirespool::http
