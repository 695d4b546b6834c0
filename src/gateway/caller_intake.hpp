// Judges requests of callers and of other gateways by their heads, while their bodies arrive.
#pragma once

#include "gateway/header_names.hpp"
#include "gateway/proxied_request.hpp"
#include "http/logged_policy.hpp"
#include "kernel/random.hpp"
#include "routing/route_table.hpp"

#include <functional>
#include <memory>

namespace samphirespool::gateway {

// The limits and routes of the configuration in force.
class caller_intake final : public http::logged_policy {
public:
    // Returns the routes in force, or null if there are none yet.
    using table_source = std::function<std::shared_ptr<const routing::route_table>()>;

    caller_intake(table_source table, const header_names& names, gateway_counters& counters,
                  kernel::random_source& random, kernel::event_sink& events,
                  const kernel::clock& time);

    http::request_limits limits() const override;
    http::head_decision judge(const http::server_request& head) const override;

private:
    http::head_decision refuse(kernel::error_kind kind, std::string_view detail,
                               std::string request_id) const;

    table_source table;
    const header_names& names;
    gateway_counters& counters;
    kernel::random_source& random;
};

// Requests of other gateways: the same limits, with room for the ticket.
class relay_intake final : public http::logged_policy {
public:
    relay_intake(const caller_intake& callers, kernel::event_sink& events,
                 const kernel::clock& time);

    http::request_limits limits() const override;
    // The ticket itself covers the body, and is verified once that is there.
    http::head_decision judge(const http::server_request& head) const override;

private:
    const caller_intake& callers;
};

} // namespace samphirespool::gateway
