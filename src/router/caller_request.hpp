// A caller's request after parsing and validation: its organisation, service, deadline and the
// options that routing depends on.
#pragma once

#include "http/server.hpp"
#include "kernel/clock.hpp"
#include "kernel/error.hpp"
#include "router/chat_body.hpp"
#include "router/configuration_index.hpp"

#include <memory>
#include <optional>
#include <string>

namespace samphirespool::router {

enum class request_priority : std::uint8_t {
    high,
    normal,
    low,
};

struct caller_request {
    // The configuration version that applies to the request from start to end.
    std::shared_ptr<const configuration_index> index;
    indexed_organisation organisation;
    indexed_service service;
    helpers::time_point deadline{};
    request_priority priority = request_priority::normal;
    // Placement key: from the x-chat-key header if there is one, else from the start of the prompt.
    helpers::chat_key chat;
    // Key of the start of the prompt alone, which chats with other names may have in common.
    helpers::chat_key shared_prefix;
    // Whether the caller sent x-chat-key.
    bool has_named_chat = false;
    // Another engine generates the same response.
    bool is_deterministic = false;
    // Empty if the caller sent none.
    std::string idempotency_key;
    bool non_idempotent = false;
    bool is_chat = false;
    bool stream = false;
    // Estimated load of the request in tokens.
    std::uint32_t cost_tokens = 1;
};

std::string_view to_string(request_priority priority);

// Returns why a request with this head cannot be served, whatever its body is; nothing if it may
// be.
std::optional<kernel::error> judge_head(const http::server_request& head,
                                        std::shared_ptr<const configuration_index> index);

// Returns nullopt and sets `reason` if the request is invalid, unauthorized or for no known
// service.
std::optional<caller_request> parse_caller_request(const http::server_request& request,
                                                   std::shared_ptr<const configuration_index> index,
                                                   const kernel::clock& time,
                                                   helpers::duration max_deadline,
                                                   kernel::error& reason);

} // namespace samphirespool::router
