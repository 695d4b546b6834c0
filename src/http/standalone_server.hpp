// A server with fixed limits and without a limit of memory, for programs that serve parties they
// trust.
#pragma once

#include "http/h2o_server.hpp"

namespace samphirespool::http {

class standalone_server final : public server {
public:
    // Starts listening. Returns null and sets `reason` if that failed.
    static std::unique_ptr<standalone_server>
    listen(event_loop& loop, const helpers::endpoint& address, const server_limits& limits,
           exchange_handler handler, kernel::error& reason) {
        std::unique_ptr<standalone_server> result(new standalone_server(loop, limits));
        result->native = h2o_server::listen({loop, result->policy, result->memory}, address, limits,
                                            std::move(handler), reason);
        return result->native == nullptr ? nullptr : std::move(result);
    }

    std::uint16_t port() const override { return this->native->port(); }
    void stop_accepting() override { this->native->stop_accepting(); }
    std::size_t connections() const { return this->native->connections(); }
    bool has_unanswered() const { return this->native->has_unanswered(); }

private:
    standalone_server(event_loop& loop, const server_limits& limits)
        : policy(limits.request), memory(this->budget, loop.time()) {}

    open_policy policy;
    admission::memory_budget budget{0};
    memory_account memory;
    std::unique_ptr<h2o_server> native;
};

} // namespace samphirespool::http
