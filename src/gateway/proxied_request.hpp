// One caller's request while the gateway serves it: routing, target assignment, attempts at targets
// and the response. A further attempt is made only if the earlier ones cannot have run the request,
// or if its route is idempotent. If this gateway has no path to the targets, another gateway serves
// the request, which does not pass it on again.
#pragma once

#include "admission/memory_budget.hpp"
#include "admission/stream_pace.hpp"
#include "discovery/feed_watch.hpp"
#include "exchange/stream_origins.hpp"
#include "gateway/crash_guard.hpp"
#include "gateway/dispatcher.hpp"
#include "gateway/event_splitter.hpp"
#include "gateway/relay_peers.hpp"
#include "gateway/relay_ticket.hpp"
#include "gateway/request_metadata.hpp"
#include "gateway/rollout_attempt.hpp"
#include "gateway/shutdown_window.hpp"
#include "gateway/target_inspection.hpp"
#include "http/client.hpp"
#include "http/server.hpp"
#include "kernel/event.hpp"

#include <functional>
#include <memory>
#include <string>

namespace samphirespool::gateway {

// Event counts for the metrics of all requests.
struct gateway_counters {
    std::uint64_t requests = 0;
    std::uint64_t responded = 0;
    std::uint64_t rejected = 0;
    std::uint64_t failed = 0;
    std::uint64_t broken_streams = 0;
    std::uint64_t disconnected = 0;
    std::uint64_t retries = 0;
    // By this gateway's share of the fleet's budget.
    std::uint64_t retries_refused = 0;
    std::uint64_t resumed_streams = 0;
    // Requests that were passed on to other gateways, and those of other gateways.
    std::uint64_t relays_sent = 0;
    std::uint64_t relays_received = 0;
    // Relays that the other gateway refused or that did not reach it.
    std::uint64_t relays_refused = 0;
    // Requests that were rejected, and responses that were broken off, for want of memory.
    std::uint64_t memory_rejections = 0;
    std::uint64_t memory_aborts = 0;
    // Found by requests, beside those that the client finds.
    kernel::response_fault_counts response_faults;
};

// Receive the durations of each request, in seconds.
struct latency_recorders {
    std::function<void(double)> first_byte;
    std::function<void(double)> total;
};

// What all requests of a gateway share.
struct request_services {
    kernel::loop& loop;
    kernel::random_source& random;
    kernel::event_sink& events;
    http::client& targets;
    dispatcher& dispatch;
    crash_guard& crashes;
    discovery::target_catalog& catalog;
    exchange::stream_origins& origins;
    relay_peers& peers;
    const relay_signer& relay_tickets;
    const header_names& names;
    gateway_counters& counters;
    const latency_recorders& latencies;
    // Once it has begun, callers' connections are closed after the response, so that they reconnect
    // to another gateway.
    const shutdown_window& shutdown;
    admission::stream_pace& stream_paces;
    admission::memory_budget& memory;
    const object_codec& codec;
    // Confirms that the catalog has all targets.
    discovery::feed_watch& target_feed;
    // Null if rollouts are not active.
    rollout_control* rollouts = nullptr;
};

class proxied_request final : private http::response_listener {
public:
    // `finished_handler` is called once and must not destroy the request before it returns. The
    // ticket is set if another gateway has passed the request on.
    proxied_request(request_services& services, std::unique_ptr<http::exchange> caller,
                    std::shared_ptr<const routing::route_table> table, helpers::time_point arrived,
                    std::uint64_t sequence, std::function<void()> finished_handler,
                    std::optional<relay_ticket> ticket = std::nullopt);
    ~proxied_request() override;
    proxied_request(const proxied_request&) = delete;
    proxied_request& operator=(const proxied_request&) = delete;

    void start();

    // Ends the request now: breaks the connection if the response has started, and otherwise
    // responds with an error that states whether the request may have run.
    void abort(const kernel::error& reason);

private:
    static constexpr int first_server_error = 500;
    static constexpr helpers::duration min_silence_timeout = std::chrono::milliseconds(250);
    // Callers abandon a stream after two seconds without data, or longer; see
    // stream_silence_limit().
    static constexpr helpers::duration stream_silence_timeout = std::chrono::milliseconds(1200);
    // A stream whose target has sent this many events has got past the start of the generation.
    static constexpr std::uint64_t events_under_way = 2;
    // Including those to targets that turned out to be other incarnations.
    static constexpr std::uint32_t max_connect_attempts = 6;
    // Gateways that are asked in turn for one request.
    static constexpr std::size_t max_tried_peers = 4;
    // Added to the silence that is tolerated of a target, since the other gateway may retry.
    static constexpr helpers::duration relay_silence_slack = std::chrono::milliseconds(400);

    bool on_connected() override;
    void on_head_bytes(std::size_t held) override { this->caller->hold(held); }
    void on_head(int status, const http::header_list& headers) override;
    void on_body(std::span<const char> data) override;
    void on_done() override;
    void on_failed(const kernel::error& reason, bool maybe_sent) override;

    // How far the response to the current attempt has come.
    enum class response_progress : std::uint8_t {
        // No response head.
        none,
        // The target has begun to respond, but has sent fewer than events_under_way events.
        begun,
        under_way,
    };

    // How one attempt ended.
    enum class attempt_outcome : std::uint8_t {
        // No byte of the request was sent, or the target stated that it did not run the request.
        not_run,
        maybe_run,
        // The target returned an error response, which is kept in `buffered_body`.
        error_response,
    };

    // Another gateway serves the request; see proxied_request_relay.cpp.
    bool may_relay() const;
    void start_relay();
    http::client_request make_relay_request(const relay_peer& peer) const;
    void on_relay_head(int status, const http::header_list& headers);
    // The peer did not run the request; another one, or a path of this gateway, may serve it.
    void on_relay_refused(std::string_view reason);
    void on_relay_failed(const kernel::error& reason, bool maybe_sent);
    void end_relay();
    void log_relay_failure(const kernel::error& reason, bool may_have_run) const;
    // What the gateway that passed the request on has to know of the response.
    void add_relay_fields();
    // Tells the gateway that passed the request on to ask another one.
    void refuse_relayed(std::string_view reason);

    bool admit();
    bool check_api_key();
    bool check_memory();
    // What is held for the request is freed when the loop runs next, as this may be called while a
    // part of its response is handled.
    void on_evicted();
    void request_target();
    void on_assigned(assignment assigned);
    void start_attempt();
    // Sends the request to the assigned target.
    void start_call();
    // Streams go on at the incarnation that registered with their version; see
    // proxied_request_resume.cpp.
    bool needs_inspection() const;
    void inspect_target();
    void on_inspected(std::optional<std::int64_t> started_at);
    // The caller's request for another address, without header fields.
    http::client_request make_request(const helpers::endpoint& to) const;
    http::client_request make_target_request() const;
    helpers::duration time_left() const;
    void arm_silence_timer(helpers::duration wait);
    // How long a target may be silent before another one is tried.
    helpers::duration silence_limit() const;
    // How long a stream may pause between two events before it is resumed at another target.
    helpers::duration stream_silence_limit() const;
    void pause_target();
    void resume_target();
    void on_silence_timeout();
    kernel::request_outcome outcome() const;
    // The reason of an attempt whose response cannot be accepted. Counts the fault; the connection
    // carries no further request.
    kernel::error broken_response(kernel::response_fault fault, std::string detail);
    // Ends the attempt of such a response.
    void on_broken_response(const kernel::error& reason);
    // Returns nothing if the head of a target's response, also one that another gateway passes on,
    // belongs to this request.
    std::optional<kernel::error> check_origin(int response_status,
                                              const http::header_list& headers);
    // Likewise for what the other gateway says itself.
    std::optional<kernel::error> check_relay_origin(int response_status,
                                                    const http::header_list& headers);
    // Takes over the head, or returns why the response cannot continue the stream.
    std::optional<kernel::error> accept_head(int response_status, const http::header_list& headers);
    // Whether a response echoes the id of this request.
    bool matches_request_id(const http::header_list& headers) const;
    void read_occupancy_report(const http::header_list& headers);
    void read_target_limit(const http::header_list& headers);
    void read_brittleness(const http::header_list& headers);
    void read_quiet_time(const http::header_list& headers);
    void read_leaving(const http::header_list& headers, std::uint64_t target);
    void begin_response();
    void forward_events(std::string_view events);
    void complete();
    void record_error_response();
    // Discards what the last attempt has left.
    void reset_attempt();
    // Closes the current attempt, and then retries or finishes the request.
    void finish_attempt(attempt_outcome outcome, const kernel::error& reason);
    // Cancels the call, logs the failure and returns the assignment to the dispatcher.
    void close_attempt(attempt_outcome outcome, const kernel::error& reason, attempt_result result);
    response_progress progress() const;
    // Whether a rollout permits to send the request to the assigned target now.
    bool begin_at_version();
    // Returns whether the request may be sent now. If it is quarantined, rejects or ends it; if it
    // is held, asks again later.
    bool pass_quarantine();
    // Returns whether the request may be sent at the software version that began its stream, if it
    // takes up one. If the version is unknown, looks it up and asks again later, or rejects it.
    bool resolve_software();
    // Notes up to which event the caller has the stream that it takes up, if it does.
    void resume_stream();
    // Whether the caller takes up a stream of an earlier attempt.
    bool takes_up_stream() const;
    std::string origin_key() const;
    void record_stream_origin();
    // Whether the response comes before a shutdown ends the request; of a stream, as far as the
    // pace of recent ones tells.
    bool ends_before_shutdown() const;
    // Until when the request may wait for a target.
    helpers::time_point queue_deadline() const;
    // The connection of the current attempt was lost, which may be the request's own doing.
    void report_target_lost();
    void report_under_way();
    static std::string_view to_string(response_progress progress);
    // Returns whether another attempt is allowed; if so, it is charged to the fleet's retry budget
    // unless no attempt has reached a target yet.
    bool may_retry(attempt_outcome outcome);
    // Charges a retry to the budget, or logs why it does not allow one.
    bool spend_retry();
    void retry();
    void finish_without_response(attempt_outcome outcome, const kernel::error& reason);
    // Returns the current assignment, if there is one, to the dispatcher.
    void release(attempt_result result);
    void reject(const kernel::error& reason, kernel::request_outcome outcome);
    void reject_for_shutdown();
    helpers::duration retry_after(kernel::error_kind reason) const;
    // Runs the task in the next loop iteration, or later; replaces a deferred task that has not run
    // yet.
    void defer(kernel::task work, helpers::duration delay = helpers::duration::zero());
    // Logs the result and calls finished_handler. No effect on a request that is already finished.
    void finish(std::string_view outcome, std::string_view reason);
    std::uint64_t elapsed_milliseconds() const;

    request_services& services;
    std::unique_ptr<http::exchange> caller;
    std::shared_ptr<const routing::route_table> table;
    std::uint64_t sequence;
    std::function<void()> finished_handler;
    std::optional<relay_ticket> ticket;
    request_metadata metadata;
    const routing::route* route = nullptr;
    std::string organisation;
    // See request_digest().
    std::uint64_t digest = 0;
    std::uint32_t priority = 0;
    helpers::service_id service;
    helpers::time_point arrived_at;
    helpers::time_point deadline{};
    dispatcher::dispatch_id dispatch_id = 0;
    std::optional<assignment> current_assignment;
    // Name of the most recently assigned target, for the log.
    std::string last_target_name;
    std::string last_target_software;
    // The gateway that serves the request now. Invariant: not set while a target is assigned.
    std::optional<relay_peer> current_peer;
    // Names of the gateways that refused the request or could not be reached.
    std::vector<std::string> tried_peers;
    // The gateway that was asked last, for the log.
    std::string last_peer_name;
    std::unique_ptr<http::client_call> call;
    // Of the assigned target, before the call to it.
    std::unique_ptr<target_inspection> inspection;
    // Counts the current attempt for a rollout.
    rollout_attempt version_attempt;
    std::vector<std::uint64_t> tried_targets;
    // The software version that began the stream; only its targets may go on with it.
    std::optional<std::uint32_t> stream_software;
    // The origin of the stream that the caller takes up is lost for good.
    bool stream_is_lost = false;
    // The target that returned an error response, as long as it is the only one. If a second target
    // returns one too, the request itself is taken for the cause and neither target is blamed.
    std::shared_ptr<const discovery::tracked_target> sole_failing_target;
    std::uint32_t error_responses = 0;
    // Attempts that reached, or may have reached, a target.
    std::uint32_t attempts = 0;
    // All attempts, including those whose connection failed.
    std::uint32_t connect_attempts = 0;
    // A finished attempt may have run the request.
    bool may_have_run = false;
    // The latest response stated that its target is about to stop.
    bool target_is_leaving = false;
    // The target of the current attempt has sent a response head.
    bool has_head = false;
    // The response to the current attempt has got past its start.
    bool was_under_way = false;
    // What the request may crash its targets with.
    admission::suspect_list suspects;
    crash_guard::verdict quarantine_verdict = crash_guard::verdict::admitted;
    // Events that were counted for the rollout.
    std::uint64_t counted_events = 0;
    // Events of the earlier attempts.
    std::uint64_t earlier_events = 0;
    // The current attempt has reached its target.
    bool has_reached_target = false;
    bool is_event_stream = false;
    // The response that began the stream has named its media type.
    bool has_event_type = false;
    int status = 0;
    http::header_list response_headers;
    // Responses other than event streams are buffered and forwarded as a whole.
    std::string buffered_body;
    event_splitter splitter;
    bool response_started = false;
    bool is_finished = false;
    bool silence_reported = false;
    // The call waits for a slow caller.
    bool is_paused = false;
    std::uint64_t first_byte_ms = 0;
    std::uint64_t queue_wait_ms = 0;
    kernel::timer_id deadline_timer = 0;
    kernel::timer_id silence_timer = 0;
    kernel::timer_id deferred_timer = 0;
    kernel::timer_id eviction_timer = 0;
};

} // namespace samphirespool::gateway
