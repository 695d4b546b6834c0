// A caller's request as the router understands it: whose it is, for which service, by when.
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
    // The version under which the request is judged from start to end.
    std::shared_ptr<const configuration_index> index;
    indexed_organisation organisation;
    indexed_service service;
    helpers::time_point deadline{};
    request_priority priority = request_priority::normal;
    helpers::chat_key chat;
    // Key of the long beginning alone, which chats of other names may share.
    helpers::chat_key beginning;
    bool has_named_chat = false;
    // Another engine gives the same answer.
    bool is_deterministic = false;
    std::string idempotency_key;
    bool non_idempotent = false;
    bool is_chat = false;
    bool stream = false;
    // Estimated load of the request.
    std::uint32_t cost_tokens = 1;
};

std::string_view to_string(request_priority priority);

// Returns nothing, with the reason, if the request cannot be served.
std::optional<caller_request> read_caller_request(const http::server_request& request,
                                                  std::shared_ptr<const configuration_index> index,
                                                  const kernel::clock& time,
                                                  helpers::duration max_deadline,
                                                  kernel::error& reason);

} // namespace samphirespool::router
