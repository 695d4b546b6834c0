// Client of a router's administration API. Each call blocks, running the event loop, until it has
// finished.
#pragma once

#include "http/client.hpp"
#include "http/event_loop.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace samphirespool::ctl {

struct admin_response {
    int status = 0;
    std::string body;
};

// The response to a call, or the reason why there is none and whether the request may have reached
// the router.
struct call_result {
    std::optional<admin_response> response;
    kernel::error reason;
    bool maybe_sent = false;
};

// SIGTERM and SIGINT end a running call without a response and stop retries.
class admin_client {
public:
    // timeout limits the wait for the first byte of a response and between its bytes. An empty
    // token sends no authorization header.
    admin_client(http::event_loop& loop, http::client& client, helpers::endpoint address,
                 std::string token, helpers::duration timeout);

    // Sends one request, without retries.
    call_result call(std::string_view method, std::string path, std::string body = "");

    // As call(), but retries up to max_attempts in total while the outcome is unknown. The path
    // must contain a request id, which makes the retries idempotent.
    call_result change(std::string_view method, const std::string& path, const std::string& body);

    static constexpr int max_attempts = 4;
    static constexpr auto retry_delay = std::chrono::milliseconds(500);

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
