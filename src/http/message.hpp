// Header fields, and the request of a client call.
#pragma once

#include "helpers/endpoint.hpp"
#include "helpers/time.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace samphirespool::http {

struct header_field {
    // Lower case.
    std::string name;
    std::string value;
};

using header_list = std::vector<header_field>;

// Compares names without regard to case. Returns the first match.
std::optional<std::string_view> find_header(const header_list& headers, std::string_view name);

struct client_request {
    helpers::endpoint to;
    std::string method = "GET";
    // Path and query.
    std::string path = "/";
    // Value of the Host field. If empty, the address in `to` is sent.
    std::string host;
    header_list headers;
    std::string body;
    // Sent after `body`, without a copy; must outlive the call.
    std::string_view shared_body;
    // Until the connection is established; zero selects the client's default.
    helpers::duration connect_timeout{};
    // From the start of the call to the response head; zero selects the client's default.
    helpers::duration first_byte_timeout{};
    // Longest time without data within the response body; zero selects the client's default.
    helpers::duration idle_timeout{};
    // The call fails once the response body is longer; zero means that the listener bounds it.
    std::size_t max_body_bytes = 0;
    // Do not send on a connection that has carried another request. Set for calls that must not be
    // retried: a pooled connection may prove to be closed only after the request was written.
    bool requires_new_connection = false;
    // Name of a field of the request whose value the response repeats. After a response that does
    // not, the connection is closed: a second copy of that response could not be told from the
    // response to the next request. Empty if responses repeat nothing.
    std::string echoed_field;
};

} // namespace samphirespool::http
