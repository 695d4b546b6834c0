// Interface of admission control: a request reserves a slot and its cost on one of its candidate
// targets before it is sent, and releases them afterwards.
#pragma once

#include "helpers/ids.hpp"
#include "helpers/time.hpp"
#include "kernel/error.hpp"

#include <cstdint>
#include <functional>
#include <vector>

namespace samphirespool::admission {

using grant_id = std::uint64_t;

// Optional hints for placing a request.
struct reservation_hints {
    // The placement key, shared by all chats with the same long prefix. Value 0: unknown.
    helpers::chat_key key;
    // Key of the chat itself. Value 0: unknown.
    helpers::chat_key conversation;
    // The request's organisation has further requests waiting. Such requests may not use the last
    // eighth of each target's slots, which is reserved for organisations without a backlog.
    bool from_backlog = false;
};

struct reservation_request {
    helpers::request_id request;
    helpers::service_id service;
    // Most preferred first.
    std::vector<helpers::target_id> candidates;
    // Estimated load in tokens.
    std::uint32_t cost_tokens = 1;
    helpers::time_point deadline;
    reservation_hints hints;
};

// Permission to send one request to a target, issued by the owner of the target's shard.
struct grant {
    grant_id id = 0;
    helpers::target_id target;
    // The request must be sent before this time by the holder's clock or not at all.
    helpers::time_point send_before;
};

// Result of the work under a grant; input to the slow start of cold targets and to outlier
// ejection.
struct release {
    grant_id id = 0;
    enum class result : std::uint8_t {
        success,
        failure,
        cancelled,
        not_sent
    } how = result::success;
    // Time to first byte; 0 if unknown.
    helpers::duration first_byte{};
};

// Either a grant or the reason why there is none.
struct reservation_reply {
    bool granted = false;
    grant issued;
    kernel::error rejection;
};

class reservation_service {
public:
    virtual ~reservation_service() = default;

    // Calls `done` exactly once, possibly before reserve() returns. If no candidate has room, the
    // reservation waits until one has or until the deadline.
    virtual void reserve(reservation_request request,
                         std::function<void(reservation_reply)> done) = 0;

    // Cancels a reservation that has no reply yet; `done` is not called afterwards.
    virtual void cancel(const helpers::request_id& request) = 0;

    // Releases a grant.
    virtual void finish(const release& released) = 0;
};

} // namespace samphirespool::admission
