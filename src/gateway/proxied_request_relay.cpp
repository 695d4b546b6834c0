// Requests that another gateway serves, since this one has no path or room at the targets, and
// requests of such gateways that this one cannot serve either.
#include "gateway/proxied_request.hpp"
#include "gateway/response_status.hpp"
#include "http/error_response.hpp"

#include <charconv>

namespace samphirespool::gateway {

namespace {

using kernel::error_kind;
using kernel::request_outcome;

constexpr int first_client_error = 400;
constexpr int status_unavailable = 503;

std::optional<std::uint32_t> read_software(const http::header_list& headers) {
    const auto text = http::find_header(headers, relay_fields::software).value_or("");
    std::uint32_t software = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), software);
    return parsed.ec == std::errc() ? std::optional(software) : std::nullopt;
}

} // namespace

bool proxied_request::may_relay() const {
    // A trial has to end at this gateway.
    return this->quarantine_verdict != crash_guard::verdict::trial &&
           this->tried_peers.size() < max_tried_peers &&
           this->services.peers.has_candidate(this->service, this->tried_peers,
                                              this->services.loop.time().now());
}

void proxied_request::start_relay() {
    const auto peer = this->services.peers.choose(this->service, this->tried_peers,
                                                  this->services.loop.time().now());
    // Another request has found out meanwhile that none is left: this one gets a target to which
    // there is a path, or waits.
    if (!peer) {
        this->request_target();
        return;
    }
    this->current_peer = *peer;
    this->last_peer_name = peer->name;
    this->reset_attempt();
    this->queue_wait_ms = this->elapsed_milliseconds();
    ++this->services.counters.relays_sent;
    this->services.peers.on_started(peer->name);
    this->services.events.write(
        kernel::severity::info, "request.relayed", std::nullopt,
        {{"request_id", this->metadata.id},
         {"peer", peer->name},
         {"reason", std::string("no path or room at the target")},
         {"broken_paths", std::uint64_t{this->services.dispatch.paths().broken_count()}},
         {"refused_by", std::uint64_t{this->tried_peers.size()}},
         {"left_ms", helpers::whole_milliseconds(this->time_left())}});
    this->call = this->services.targets.start(this->make_relay_request(*peer), *this);
}

http::client_request proxied_request::make_relay_request(const relay_peer& peer) const {
    const auto incoming = this->caller->request();
    const auto& names = this->services.names;
    auto request = this->make_request(peer.address);
    request.headers = relayed_headers(incoming.headers, names);
    request.headers.push_back(
        {names.deadline, std::to_string(helpers::whole_milliseconds(this->time_left()))});
    request.headers.push_back(
        {std::string(relay_fields::ticket),
         this->services.relay_tickets.sign(
             {this->services.peers.own_name(), this->attempts, this->table->values().version},
             incoming)});
    if (this->splitter.last_id() && this->response_started) {
        std::erase_if(request.headers, [&](const auto& field) {
            return field.name == names.last_event_id || field.name == names.resumed_attempt;
        });
        request.headers.push_back({names.last_event_id, std::to_string(*this->splitter.last_id())});
        request.headers.push_back({names.resumed_attempt, this->metadata.id});
    }
    return request;
}

void proxied_request::on_relay_head(int response_status, const http::header_list& headers) {
    this->has_head = true;
    if (const auto reason = http::find_header(headers, relay_fields::refused)) {
        this->on_relay_refused(*reason);
        return;
    }
    auto reason = this->check_relay_origin(response_status, headers);
    const bool is_new = !this->response_started;
    if (!reason)
        reason = this->accept_head(response_status, headers);
    if (reason) {
        this->on_broken_response(*reason);
        return;
    }
    // The response is passed on from here, so that what its target says of itself holds here too.
    this->last_target_name = http::find_header(headers, relay_fields::target).value_or("");
    if (const auto target = this->services.catalog.find(this->last_target_name))
        this->read_leaving(headers, target->serial);
    const auto software = read_software(headers);
    if (is_new && software)
        this->stream_software = software;
}

// An error of the other gateway itself states what is known of the outcome. A status that callers
// take for "not run" has to agree with that.
std::optional<kernel::error> proxied_request::check_relay_origin(int response_status,
                                                                 const http::header_list& headers) {
    const auto outcome = http::find_header(headers, http::outcome_field);
    const bool is_sealed = http::find_header(headers, this->services.names.seal).has_value();
    if (!outcome || is_sealed || response_status < first_client_error)
        return this->check_origin(response_status, headers);
    const bool is_not_run = outcome == kernel::to_string(request_outcome::not_run);
    if (means_not_run(response_status) && !is_not_run)
        return this->broken_response(kernel::response_fault::no_seal,
                                     "the gateway's status contradicts the outcome that it states");
    return std::nullopt;
}

void proxied_request::on_relay_refused(std::string_view reason) {
    this->services.peers.on_refused(this->current_peer->name, this->service,
                                    this->services.loop.time().now());
    this->log_relay_failure({error_kind::no_target, std::string(reason)}, false);
    --this->attempts;
    this->has_reached_target = false;
    this->tried_peers.push_back(this->current_peer->name);
    this->end_relay();
    this->defer([this] { this->request_target(); });
}

void proxied_request::on_relay_failed(const kernel::error& reason, bool maybe_sent) {
    this->services.peers.on_unreachable(this->current_peer->name, this->services.loop.time().now());
    this->log_relay_failure(reason, maybe_sent);
    this->has_reached_target = false;
    this->may_have_run = this->may_have_run || maybe_sent;
    this->tried_peers.push_back(this->current_peer->name);
    this->end_relay();
    const auto outcome = maybe_sent ? attempt_outcome::maybe_run : attempt_outcome::not_run;
    if (!maybe_sent || this->may_retry(outcome))
        this->retry();
    else
        this->defer([this, outcome, reason] { this->finish_without_response(outcome, reason); });
}

void proxied_request::end_relay() {
    if (!this->current_peer)
        return;
    this->call.reset();
    this->services.loop.cancel(std::exchange(this->silence_timer, 0));
    this->services.peers.on_finished(this->current_peer->name);
    this->current_peer.reset();
}

void proxied_request::log_relay_failure(const kernel::error& reason, bool may_have_run) const {
    ++this->services.counters.relays_refused;
    this->services.events.write(kernel::severity::warning, "request.relay_failed", std::nullopt,
                                {{"request_id", this->metadata.id},
                                 {"peer", this->current_peer->name},
                                 {"reason", reason.detail},
                                 {"fault", std::string(kernel::to_string(reason.fault))},
                                 {"may_have_run", may_have_run},
                                 {"events", this->splitter.event_count() - this->earlier_events},
                                 {"left_ms", helpers::whole_milliseconds(this->time_left())}});
}

void proxied_request::add_relay_fields() {
    if (!this->ticket)
        return;
    this->response_headers.push_back({std::string(relay_fields::target), this->last_target_name});
    if (this->stream_software)
        this->response_headers.push_back(
            {std::string(relay_fields::software), std::to_string(*this->stream_software)});
}

void proxied_request::refuse_relayed(std::string_view reason) {
    if (this->response_started || this->may_have_run) {
        this->finish_without_response(attempt_outcome::maybe_run,
                                      {error_kind::no_target, "no path or room at the target"});
        return;
    }
    ++this->services.counters.rejected;
    this->caller->respond(status_unavailable,
                          {{std::string(relay_fields::refused), std::string(reason)}}, "");
    this->finish("not run", reason);
}

} // namespace samphirespool::gateway
