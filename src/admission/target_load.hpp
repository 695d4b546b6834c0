// Load and health of one target as seen by this gateway. The gateway's own requests are counted
// exactly; those of its peers are estimated from the exchange and from the target's reports.
#pragma once

#include "admission/fleet_outliers.hpp"
#include "admission/sliding_counts.hpp"
#include "helpers/time.hpp"

#include <cstdint>
#include <deque>
#include <optional>

namespace samphirespool::admission {

// Requests on a target, as it reports them with a response.
struct occupancy_report {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    // How long work takes on its machine now, in percent of the usual time; empty if not stated.
    std::optional<std::uint32_t> speed_percent = std::nullopt;
};

// Higher figures are read as this one, so that no target is avoided for good.
constexpr std::uint32_t max_speed_percent = 1000;

class target_load {
public:
    // A request was sent to the target.
    void on_sent(std::uint64_t prompt_tokens, helpers::time_point now);
    // The target has processed the prompt: the response has started or the request has finished.
    void on_prompt_read(std::uint64_t prompt_tokens);
    // A request that was sent has finished.
    void on_finished();

    // Applies the target's own report, which is exact only at the moment it was made.
    void apply_report(const occupancy_report& report, helpers::time_point now);
    // Sets the number of requests that all peers together have on the target, from the exchange.
    void set_peer_requests(std::uint32_t count, helpers::time_point valid_until);

    // Sets the recent successes of the whole fleet, from the exchange. Those that other gateways
    // add while this one's path is broken show that they reach the target.
    void set_fleet_successes(std::uint32_t fleet, bool is_path_broken, helpers::time_point now);
    bool is_reached_by_peers(helpers::time_point now) const {
        return this->peers_reached_at && now - *this->peers_reached_at < result_window;
    }

    // Estimated requests on the target, own and peers'. `typical` is the number assumed for the
    // peers where neither the exchange nor a recent report gives one.
    double estimate(double typical, helpers::time_point now) const;
    // Estimated requests of the peers: from the exchange while valid, otherwise from the last
    // report, which decays towards `typical` with its age.
    double peer_requests(double typical, helpers::time_point now) const;
    std::uint32_t own_requests() const { return this->in_flight; }
    // Tokens of own prompts that the target has not processed yet.
    std::uint64_t prompt_backlog() const { return this->backlog; }

    // Results of own requests. After consecutive failures the target is ejected for a time that
    // grows with each further failure; then a single trial request is allowed.
    void on_success();
    void on_failure(helpers::time_point now);
    bool is_ejected(helpers::time_point now) const;
    // Whether the target was ejected and has not succeeded since. After the ejection one request at
    // a time is allowed as a trial.
    bool is_on_trial() const { return this->failures >= failures_to_eject; }

    std::uint32_t consecutive_failures() const { return this->failures; }

    // Records the result of an own request. find_outliers() compares the sums over all gateways.
    void record_result(bool failed, helpers::time_point now);
    // Results within result_window.
    result_counts recent_results(helpers::time_point now) const { return this->results.sum(now); }

    // Marks the target as suspected because the fleet's results show that it fails, until these
    // results have left the window; each further suspicion lasts longer. A suspected target gets
    // only requests that have found no other one for part of their queue time. Returns false if the
    // target is suspected already.
    bool suspect(helpers::time_point now);
    bool is_suspected(helpers::time_point now) const { return now < this->suspected_until; }
    helpers::time_point suspicion_end() const { return this->suspected_until; }

    // Long enough that each target of a large fleet receives several requests.
    static constexpr helpers::duration result_window = std::chrono::seconds(3);

    // Times of the last max_recent_sends sends, oldest first.
    const std::deque<helpers::time_point>& recent_sends() const { return this->send_times; }

private:
    // Two consecutive failures are rarely chance.
    static constexpr std::uint32_t failures_to_eject = 2;
    static constexpr std::size_t max_recent_sends = 32;

    std::uint32_t in_flight = 0;
    std::uint64_t backlog = 0;
    double reported_peers = 0;
    helpers::time_point reported_at{};
    bool has_report = false;
    std::uint32_t exchanged_peers = 0;
    helpers::time_point exchanged_until{};
    std::uint32_t peer_successes = 0;
    // When peer_successes last rose while this gateway's path was broken.
    std::optional<helpers::time_point> peers_reached_at;
    std::uint32_t failures = 0;
    helpers::time_point ejected_until{};
    sliding_counts<result_counts, 6> results{result_window};
    std::uint32_t suspicions = 0;
    helpers::time_point suspected_until{};
    std::deque<helpers::time_point> send_times;
};

} // namespace samphirespool::admission
