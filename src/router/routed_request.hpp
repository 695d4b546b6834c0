// One request's way through the router: turn, claim, reservation, call, answer, end. What follows
// from each event is decided by request::request_state; here it is reported and carried out.
#pragma once

#include "request/request_state.hpp"
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
    using release_result = admission::release::result;
    using action_step = void (routed_request::*)(const request::decision&);

    struct attempt {
        // Declared because clang cannot see within this class that the members have defaults.
        attempt();

        admission::grant given;
        helpers::endpoint address;
        helpers::time_point sent_at{};
        helpers::duration first_byte{};
        // The target answered with an error, which is held back until it is whole.
        bool is_error_answer = false;
        std::unique_ptr<http::client_call> call;
    };

    bool on_connected() override;
    void on_head(int status, const http::header_list& headers) override;
    void on_body(std::span<const char> data) override;
    void on_done() override;
    void on_failed(const kernel::error& reason, bool maybe_sent) override;

    // Ends the attempt if the decision says so, and does what it asks for.
    void carry_out(const request::decision& made, release_result how);
    void do_nothing(const request::decision&) {}
    void make_claim(const request::decision&);
    void reserve(const request::decision&);
    admission::reservation_hints hints() const;
    void call_target(const request::decision&);
    void resume_stream(const request::decision&);
    void pass_answer(const request::decision&);
    void finish(const request::decision& made);

    void enter_queue();
    void on_turn(const std::optional<kernel::error>& refusal);
    void on_claim(const claims::claim_result& answer);
    void on_reservation(const admission::reservation_reply& answer);
    void ask_for_target();
    void wait_for_targets();
    http::client_request make_call() const;
    bool is_own_answer(const http::header_list& headers);
    void answer_complete();
    void attempt_failed(const kernel::error& reason, bool maybe_sent);
    void end_attempt(release_result how);
    void departed();
    void answer_with_error(const request::decision& made);
    void settle_claim(kernel::request_outcome outcome);
    void later(kernel::task work);
    void end(std::string_view result);

    request_context& context;
    helpers::request_id id;
    std::string id_text;
    std::unique_ptr<http::exchange> caller;
    caller_request wanted;
    std::function<void()> ended;
    request::request_state state;
    answer_relay relay;
    helpers::time_point began;
    std::optional<attempt> current;
    claims::claim_request claim;
    bool holds_claim = false;
    bool reservation_pending = false;
    bool has_ended = false;
    // Why the request cannot be answered, for the caller to read.
    std::string reason_detail;
    kernel::timer_id deadline_timer = 0;
    kernel::timer_id later_timer = 0;
    // Guards against answers of services that come after the end.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace samphirespool::router
