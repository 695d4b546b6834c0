// Calls of the administration API that wait for their answer on the event loop.
#pragma once

#include "http/client.hpp"
#include "http/event_loop.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace samphirespool::ctl {

struct admin_answer {
    int status = 0;
    std::string body;
};

// An answer, or the reason why there is none and whether the call may have had an effect.
struct call_result {
    std::optional<admin_answer> answer;
    kernel::error reason;
    bool maybe_sent = false;
};

class admin_client {
public:
    admin_client(http::event_loop& loop, http::client& client, helpers::endpoint address,
                 std::string token, helpers::duration timeout);

    call_result call(std::string_view method, std::string path, std::string body = "");

    // As call(), and repeats the call while its outcome is unknown. The path must name the change
    // by a request id, which makes the repeats safe.
    call_result change(std::string_view method, const std::string& path, const std::string& body);

    static constexpr int max_attempts = 4;
    static constexpr auto pause_between = std::chrono::milliseconds(500);

private:
    void wait(helpers::duration time);

    http::event_loop& loop;
    http::client& client;
    helpers::endpoint address;
    std::string token;
    helpers::duration timeout;
    bool interrupted = false;
};

} // namespace samphirespool::ctl
