// Parses and filters the header fields of requests and responses.
#pragma once

#include "admission/target_load.hpp"
#include "gateway/header_names.hpp"
#include "http/server.hpp"
#include "placement/target_choice.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace samphirespool::gateway {

struct request_metadata {
    std::string id;
    // How long the caller still waits, if it states that.
    std::optional<helpers::duration> deadline;
    placement::prompt prompt;
    // API key of an organisation, without the authentication scheme.
    std::string_view api_key;
    std::string_view last_event_id;
    // The attempt that brought the first event of a stream that the caller takes up again.
    std::string_view resumed_attempt;
};

request_metadata read_request_metadata(const http::server_request& request,
                                       const header_names& names);

// Identifies what a request asks for and who asks: requests with the same caller, method, host,
// path, query and body have the same digest, on every gateway. The id of the attempt is not part of
// it.
std::uint64_t request_digest(const http::server_request& request, std::string_view organisation);

// Parses the segments of a prompt; malformed entries are skipped.
std::vector<placement::prompt_segment> parse_prompt_segments(std::string_view text);

// Returns nothing if the text is malformed.
std::optional<admission::occupancy_report> parse_occupancy_report(std::string_view text);

// Returns the caller's fields that are sent to a target: all but hop-by-hop fields, fields that the
// gateway sets itself, and the API key.
http::header_list forwarded_headers(const http::header_list& from, const header_names& names);

// Returns the caller's fields that are sent to another gateway, which treats the request like one
// of its own caller's: all but hop-by-hop fields and the deadline.
http::header_list relayed_headers(const http::header_list& from, const header_names& names);

// Returns the fields of a target's response that are sent to the caller.
http::header_list returned_headers(const http::header_list& from);

} // namespace samphirespool::gateway
