// Interface of admission: a request reserves one unit of load on one of its candidates before it
// is sent, and releases it afterwards.
#pragma once

#include "helpers/ids.hpp"
#include "helpers/time.hpp"
#include "kernel/error.hpp"

#include <cstdint>
#include <functional>
#include <vector>

namespace samphirespool::admission {

using grant_id = std::uint64_t;

// What helps to place a request; none of it is needed.
struct reservation_hints {
    // The placement key, which all chats with the same long beginning share. Value 0: unknown.
    helpers::chat_key key;
    // The chat itself. Value 0: unknown.
    helpers::chat_key conversation;
    // The request's organisation has more waiting behind it. Such requests leave the last eighth of
    // each target's slots to organisations without a backlog.
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

struct grant {
    grant_id id = 0;
    helpers::target_id target;
    // The request must be sent before this time by the holder's clock, or not at all.
    helpers::time_point send_before;
};

// How the work under a grant ended; the cold ramp and outlier ejection learn from it.
struct release {
    grant_id id = 0;
    enum class result : std::uint8_t {
        success,
        failure,
        cancelled,
        not_sent
    } how = result::success;
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

    // `done` runs once, possibly at once. If no candidate has room it waits until one has or until
    // the deadline.
    virtual void reserve(reservation_request request,
                         std::function<void(reservation_reply)> done) = 0;

    // Gives up a reservation that was not answered yet; `done` does not run afterwards.
    virtual void cancel(const helpers::request_id& request) = 0;
    virtual void finish(const release& ended) = 0;
};

} // namespace samphirespool::admission
