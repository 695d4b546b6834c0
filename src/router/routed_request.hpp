// Runs one request through the router: queue, claim, reservation, call to the target, response.
// Each event is reported to request::request_state, which decides the next action; this class
// executes it.
#pragma once

#include "request/request_state.hpp"
#include "router/caller_request.hpp"
#include "router/request_context.hpp"
#include "router/response_relay.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace samphirespool::router {

class routed_request final : private http::response_listener {
public:
    // `end_handler` runs once, from a method of this request, and must not destroy it before it
    // returns.
    routed_request(request_context& context, helpers::request_id id,
                   std::unique_ptr<http::exchange> caller, caller_request parsed_request,
                   std::function<void()> end_handler);
    ~routed_request() override;
    routed_request(const routed_request&) = delete;
    routed_request& operator=(const routed_request&) = delete;

    void start();

    // Ends the request with this reason, unless its response is being relayed or resumed.
    void abort(kernel::error reason);

private:
    using release_result = admission::release::result;
    using action_handler = void (routed_request::*)(const request::decision&);

    struct attempt {
        // Declared because clang does not see the default member initializers within the
        // enclosing class.
        attempt();

        admission::grant grant;
        helpers::endpoint address;
        helpers::time_point sent_at{};
        helpers::duration first_byte{};
        // The target responded with a server error, which is buffered until it is complete.
        bool is_error_response = false;
        std::unique_ptr<http::client_call> call;
    };

    bool on_connected() override;
    void on_head_bytes(std::size_t held) override { this->caller->hold(held); }
    void on_head(int status, const http::header_list& headers) override;
    void on_body(std::span<const char> data) override;
    void on_done() override;
    void on_failed(const kernel::error& reason, bool maybe_sent) override;

    // Releases the grant if the decision says so, with the result of the attempt, and executes the
    // action.
    void execute(const request::decision& decision, release_result result);
    void do_nothing(const request::decision&) {}
    void make_claim(const request::decision&);
    void start_reservation(const request::decision&);
    admission::reservation_hints hints() const;
    void call_target(const request::decision&);
    void resume_stream(const request::decision&);
    void forward_error_response(const request::decision&);
    void finish(const request::decision& decision);

    void submit_to_queue();
    void on_dequeued(const std::optional<kernel::error>& rejection);
    void on_claim(const claims::claim_result& reply);
    void on_reservation(const admission::reservation_reply& reply);
    void reserve_target();
    void wait_for_targets();
    http::client_request make_target_request() const;
    // Whether the response carries the id of this request; otherwise counts and logs the mismatch.
    bool is_own_response(const http::header_list& headers);
    void complete_response();
    // Fails the attempt since its response cannot be accepted.
    void reject_response(kernel::response_fault fault, std::string detail);
    void attempt_failed(const kernel::error& reason, bool maybe_sent);
    // Releases the grant, if one is held, and records the result for the health of the target.
    void end_attempt(release_result result);
    void on_caller_disconnected();
    void on_evicted();
    void respond_with_error(const request::decision& decision);
    void settle_claim(kernel::request_outcome outcome);
    // Runs the work in the next loop iteration, instead of work deferred before.
    void defer(kernel::task work);
    // Releases everything that the request holds, logs the result and runs the end handler.
    void end(std::string_view result);

    request_context& context;
    helpers::request_id id;
    std::string id_text;
    std::unique_ptr<http::exchange> caller;
    caller_request parsed_request;
    std::function<void()> end_handler;
    request::request_state state;
    response_relay relay;
    helpers::time_point started_at;
    // Set while a grant is held.
    std::optional<attempt> current_attempt;
    claims::claim_request claim;
    bool holds_claim = false;
    bool reservation_pending = false;
    bool has_ended = false;
    // Message for the caller, if the request ends with an error response.
    std::string error_detail;
    kernel::timer_id deadline_timer = 0;
    // For defer() and wait_for_targets(); at most one of them is pending.
    kernel::timer_id deferred_timer = 0;
    // False once this is destroyed; checked by callbacks of services, which may run afterwards.
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace samphirespool::router
