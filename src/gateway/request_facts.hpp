// What the gateway reads from the header fields of a request or an answer.
#pragma once

#include "admission/target_load.hpp"
#include "gateway/header_names.hpp"
#include "http/server.hpp"
#include "placement/target_choice.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace samphirespool::gateway {

struct request_facts {
    std::string id;
    // How long the caller still waits, if it says so.
    std::optional<helpers::duration> deadline;
    placement::prompt prompt;
    // The key of an organisation, without the scheme before it.
    std::string_view key;
    std::string_view last_event;
};

request_facts read_request_facts(const http::server_request& request, const header_names& names);

// The parts of a prompt. Entries that cannot be read are left out.
std::vector<placement::prompt_segment> parse_prompt_parts(std::string_view text);

std::optional<admission::occupancy_report> parse_load(std::string_view text);

// Fields that go to the target: those of the caller without what concerns one connection, what the
// gateway sets itself, and the key.
http::header_list forwarded_fields(const http::header_list& from, const header_names& names);

// Fields of a target's answer that go to the caller.
http::header_list returned_fields(const http::header_list& from);

} // namespace samphirespool::gateway
