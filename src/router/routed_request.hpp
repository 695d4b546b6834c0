// One request's way through the router: claim, reservation, call, answer, retries, end.
#pragma once

#include "router/answer_relay.hpp"
#include "router/caller_request.hpp"
#include "router/request_context.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace samphirespool::router {

class routed_request final : private http::response_listener {
public:
    // `ended` runs once, and may not destroy the request before it returns.
    routed_request(request_context& context, helpers::request_id id,
                   std::unique_ptr<http::exchange> caller, caller_request wanted,
                   std::function<void()> ended);
    ~routed_request() override;
    routed_request(const routed_request&) = delete;
    routed_request& operator=(const routed_request&) = delete;

    void start();

    // Ends the request with this reason unless its answer has begun.
    void give_up(kernel::error reason);

private:
    struct attempt {
        admission::grant given;
        helpers::endpoint address;
        helpers::time_point sent_at{};
        helpers::duration first_byte{};
        std::unique_ptr<http::client_call> call;
    };

    void on_head(int status, const http::header_list& headers) override;
    void on_body(std::span<const char> data) override;
    void on_done() override;
    void on_failed(const kernel::error& reason, bool maybe_sent) override;

    void make_claim();
    void on_claim(const claims::claim_answer& answer);
    void reserve();
    void wait_for_targets();
    void on_reservation(const admission::reservation_answer& answer);
    bool may_still_send(const admission::grant& given) const;
    void send(const admission::grant& given, const helpers::endpoint& address);
    http::client_request make_call(const helpers::endpoint& address) const;
    void answer_complete();
    void attempt_failed(const kernel::error& reason, bool maybe_sent);
    bool may_retry(bool maybe_sent) const;
    void end_attempt(admission::release::result how);
    void deadline_passed();
    void departed();
    void refuse(kernel::error reason);
    void settle_claim(bool answered);
    void end(std::string_view result);
    bool wants_claim() const;

    request_context& context;
    helpers::request_id id;
    std::string id_text;
    std::unique_ptr<http::exchange> caller;
    caller_request wanted;
    std::function<void()> ended;
    answer_relay relay;
    helpers::time_point began;
    std::optional<attempt> current;
    std::vector<helpers::target_id> tried;
    claims::claim_request claim;
    std::optional<helpers::time_point> claim_valid_until;
    bool reservation_pending = false;
    // Whether any byte of the request may have reached a target.
    bool maybe_sent = false;
    bool has_ended = false;
    kernel::timer_id deadline_timer = 0;
    kernel::timer_id wait_timer = 0;
    // Guards against answers of services that come after the end.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

std::string to_string(const helpers::request_id& id);

} // namespace samphirespool::router
