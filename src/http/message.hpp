// HTTP messages as values: header fields, and a request for the client.
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
    // Path with query.
    std::string path = "/";
    // Value of the Host field; empty: the address in `to`.
    std::string host;
    header_list headers;
    std::string body;
    // Until the connection stands; zero means the client's default.
    helpers::duration connect_timeout{};
    // From the call to the head of the answer; zero means the client's default.
    helpers::duration first_byte_timeout{};
    // Longest silence within the answer's body; zero means the client's default.
    helpers::duration idle_timeout{};
    // Never sent on a connection that carried another request before. Set for calls that may not be
    // repeated: a pooled connection may turn out dead only after the request left.
    bool requires_new_connection = false;
};

} // namespace samphirespool::http
