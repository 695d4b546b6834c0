// One request's way through the gateway: route, target, call, answer, end. It is sent again only
// where that is allowed: if it cannot have run, or may run more than once.
#pragma once

#include "gateway/dispatcher.hpp"
#include "gateway/event_splitter.hpp"
#include "gateway/request_facts.hpp"
#include "http/client.hpp"
#include "http/server.hpp"
#include "kernel/event.hpp"

#include <functional>
#include <memory>
#include <string>

namespace samphirespool::gateway {

struct gateway_counters {
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t broken_streams = 0;
    std::uint64_t departed = 0;
    std::uint64_t repeats = 0;
    std::uint64_t resumed = 0;
};

// Told of each request's times, in seconds.
struct latency_sinks {
    std::function<void(double)> first_part;
    std::function<void(double)> total;
};

struct request_services {
    kernel::loop& loop;
    kernel::random_source& random;
    kernel::event_sink& events;
    http::client& targets;
    dispatcher& dispatch;
    discovery::target_catalog& catalog;
    const header_names& names;
    gateway_counters& counters;
    const latency_sinks& latencies;
    // New connections of callers should go elsewhere.
    const bool& leaving;
};

class proxied_request final : private http::response_listener {
public:
    // `ended` runs once, and may not destroy the request before it returns.
    proxied_request(request_services& services, std::unique_ptr<http::exchange> caller,
                    std::shared_ptr<const routing::route_table> table, helpers::time_point arrived,
                    std::uint64_t sequence, std::function<void()> ended);
    ~proxied_request() override;
    proxied_request(const proxied_request&) = delete;
    proxied_request& operator=(const proxied_request&) = delete;

    void start();

    // Ends the request now: refused if it was never sent, broken off otherwise.
    void give_up(const kernel::error& reason);

private:
    static constexpr int first_server_error = 500;

    bool on_connected() override;
    void on_head(int status, const http::header_list& headers) override;
    void on_body(std::span<const char> data) override;
    void on_done() override;
    void on_failed(const kernel::error& reason, bool maybe_sent) override;

    // What became of one attempt.
    enum class attempt_end : std::uint8_t {
        // No byte left this process, or the target said so.
        not_run,
        maybe_run,
        // An error of the target's own, which is kept in `held`.
        error_answer,
    };

    bool admit();
    bool check_key();
    void ask_for_target();
    void on_assigned(assignment made);
    void send();
    http::client_request make_call() const;
    helpers::duration left() const;
    void arm_silence(helpers::duration wait);
    void on_silence();
    kernel::request_outcome outcome() const;
    bool is_own_answer(const http::header_list& headers) const;
    void read_target_state(const http::header_list& headers);
    void begin_answer();
    void pass_events(std::string_view events);
    void complete();
    void note_error_answer();
    void attempt_ended(attempt_end how, const kernel::error& reason);
    void close_attempt(attempt_end how, const kernel::error& reason, result judged);
    // Counts a repeat against the shared budget if it returns true.
    bool may_send_again(attempt_end how);
    void send_again();
    void finish_without_answer(attempt_end how, const kernel::error& reason);
    void release(result how);
    void refuse(const kernel::error& reason, kernel::request_outcome outcome);
    helpers::duration retry_after(kernel::error_kind reason) const;
    void later(kernel::task work);
    void end(std::string_view outcome, std::string_view reason);
    std::uint64_t milliseconds_since_start() const;

    request_services& services;
    std::unique_ptr<http::exchange> caller;
    std::shared_ptr<const routing::route_table> table;
    std::uint64_t sequence;
    std::function<void()> ended;
    request_facts facts;
    const routing::route* route = nullptr;
    std::string organisation;
    std::uint32_t priority = 0;
    helpers::service_id service;
    helpers::time_point began;
    helpers::time_point deadline{};
    dispatcher::ticket_id ticket = 0;
    std::optional<assignment> current;
    // For the log.
    std::string last_target;
    std::unique_ptr<http::client_call> call;
    std::vector<std::uint64_t> tried;
    // The only one that answered with an error, if another may yet do so: then it is the request.
    std::shared_ptr<const discovery::known_target> erring;
    std::uint32_t error_answers = 0;
    // Times the request reached, or may have reached, a target.
    std::uint32_t sends = 0;
    std::uint32_t connects = 0;
    // An attempt that has ended may have run it.
    bool may_have_run = false;
    // The attempt in progress has reached its target.
    bool is_at_target = false;
    bool has_events = false;
    int status = 0;
    http::header_list answer_fields;
    // Answers that are not streams are passed on whole.
    std::string held;
    event_splitter splitter;
    bool answer_begun = false;
    bool has_ended = false;
    bool suspected = false;
    std::uint64_t first_part_ms = 0;
    std::uint64_t waited_ms = 0;
    kernel::timer_id deadline_timer = 0;
    kernel::timer_id silence_timer = 0;
    kernel::timer_id later_timer = 0;
};

} // namespace samphirespool::gateway
