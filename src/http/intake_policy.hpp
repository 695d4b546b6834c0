// What the owner of a server decides about requests while they arrive, before their bodies are in.
#pragma once

#include "http/error_response.hpp"
#include "http/server.hpp"

#include <optional>
#include <string_view>

namespace samphirespool::http {

struct head_decision {
    // The request cannot be served, whatever its body is.
    std::optional<error_response> refusal;
    // Time to receive the body; the limits' if unset.
    std::optional<helpers::duration> body_timeout;
    // When the caller is to try again if there is no memory; the error kind's value if unset.
    std::optional<helpers::duration> retry_after;
};

// Why a server has refused a request that was arriving, or closed a connection.
struct intake_event {
    std::string_view reason;
    // Of the refusal; empty if no request was refused, or it has no id.
    std::string_view code;
    std::string_view request_id;
    // Memory held for the connection, and for all callers.
    std::size_t held = 0;
    std::size_t used = 0;
    // Open connections of the server.
    std::size_t connections = 0;
    // Since the connection last moved a notable part of a request.
    helpers::duration stalled{};
};

class intake_policy {
public:
    virtual ~intake_policy() = default;

    // The limits of a request whose first byte has arrived.
    virtual request_limits limits() const = 0;
    // Judges the head of a request whose body is still arriving; the body of `head` is empty.
    virtual head_decision judge(const server_request& head) const = 0;
    virtual void on_event(const intake_event& event) = 0;
};

// Fixed limits; every head is accepted.
class open_policy final : public intake_policy {
public:
    explicit open_policy(const request_limits& limits) : fixed(limits) {}

    request_limits limits() const override { return this->fixed; }
    head_decision judge(const server_request&) const override { return {}; }
    void on_event(const intake_event&) override {}

private:
    request_limits fixed;
};

} // namespace samphirespool::http
