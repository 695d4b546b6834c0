// What a gateway sends with a request that it passes on to another one, signed with the fleet's
// key, so that nobody else can ask a gateway for that.
#pragma once

#include "http/server.hpp"
#include "wire/frame_codec.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace samphirespool::gateway {

// Header fields between gateways. Never sent to callers or targets, nor read from them.
namespace relay_fields {

constexpr std::string_view prefix = "samphirespool-relay";
// In requests: the ticket.
constexpr std::string_view ticket = "samphirespool-relay-ticket";
// In responses: the gateway did not run the request, and another one may serve it.
constexpr std::string_view refused = "samphirespool-relay-refused";
// In responses of a target: its name.
constexpr std::string_view target = "samphirespool-relay-target";
// In responses that are streams: hash of the software version of the target.
constexpr std::string_view software = "samphirespool-relay-software";

} // namespace relay_fields

struct relay_ticket {
    // Name of the gateway that has the caller's connection.
    std::string from;
    // Attempts at targets that it has made before.
    std::uint32_t attempts = 0;
    // Version of the configuration under which it has admitted the request.
    std::uint64_t version = 0;
};

class relay_signer {
public:
    explicit relay_signer(std::span<const wire::bytes> keys) : signer(keys) {}

    // The ticket holds for one request only: its method, host, path, query and body.
    std::string sign(const relay_ticket& ticket, const http::server_request& request) const;
    // Returns nothing if the text is malformed or not signed with a key of this fleet.
    std::optional<relay_ticket> verify(std::string_view text,
                                       const http::server_request& request) const;

private:
    wire::frame_signer signer;
};

} // namespace samphirespool::gateway
