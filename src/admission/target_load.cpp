// Accounting of one target's load and failures.
#include "admission/target_load.hpp"

#include <algorithm>
#include <cmath>

namespace samphirespool::admission {

namespace {

// A report loses half of its weight in this time, which is about how long a request runs.
constexpr double report_half_life_s = 1.0;
constexpr helpers::duration first_ejection = std::chrono::milliseconds(700);
constexpr helpers::duration longest_ejection = std::chrono::seconds(5);
constexpr std::uint32_t most_doublings = 4;
// A suspicion lasts long enough that results from before it, including those still in transit, have
// left the window when it ends.
constexpr helpers::duration first_suspicion =
    target_load::result_window + std::chrono::milliseconds(500);
constexpr helpers::duration longest_suspicion = std::chrono::seconds(14);
// A target that was not suspected for this long starts again with the first duration.
constexpr helpers::duration suspicion_memory = std::chrono::seconds(20);

} // namespace

void target_load::on_sent(std::uint64_t prompt_tokens, helpers::time_point now) {
    ++this->in_flight;
    this->backlog += prompt_tokens;
    this->send_times.push_back(now);
    if (this->send_times.size() > max_recent_sends)
        this->send_times.pop_front();
}

void target_load::on_prompt_read(std::uint64_t prompt_tokens) {
    this->backlog -= std::min(this->backlog, prompt_tokens);
}

void target_load::on_finished() {
    if (this->in_flight > 0)
        --this->in_flight;
}

void target_load::apply_report(const occupancy_report& report, helpers::time_point now) {
    const auto total = static_cast<double>(report.running) + report.waiting;
    this->reported_peers = std::max(0.0, total - this->in_flight);
    this->reported_at = now;
    this->has_report = true;
}

void target_load::set_peer_requests(std::uint32_t count, helpers::time_point valid_until) {
    this->exchanged_peers = count;
    this->exchanged_until = valid_until;
}

void target_load::set_fleet_successes(std::uint32_t fleet, bool is_path_broken,
                                      helpers::time_point now) {
    const auto peers = fleet - std::min(fleet, this->recent_results(now).responses);
    // The sum is of a sliding window: a rise is a new success.
    if (!is_path_broken)
        this->peers_reached_at.reset();
    else if (peers > this->peer_successes)
        this->peers_reached_at = now;
    this->peer_successes = peers;
}

double target_load::peer_requests(double typical, helpers::time_point now) const {
    if (now < this->exchanged_until)
        return this->exchanged_peers;
    if (!this->has_report)
        return typical;
    const std::chrono::duration<double> age = now - this->reported_at;
    const auto weight = std::exp2(-age.count() / report_half_life_s);
    return this->reported_peers * weight + typical * (1 - weight);
}

double target_load::estimate(double typical, helpers::time_point now) const {
    return this->in_flight + this->peer_requests(typical, now);
}

void target_load::on_success() {
    this->failures = 0;
    this->ejected_until = {};
}

void target_load::on_failure(helpers::time_point now) {
    ++this->failures;
    if (this->failures < failures_to_eject)
        return;
    const auto doublings = std::min(this->failures - failures_to_eject, most_doublings);
    this->ejected_until = now + std::min(first_ejection * (1U << doublings), longest_ejection);
}

bool target_load::is_ejected(helpers::time_point now) const {
    if (now < this->ejected_until)
        return true;
    return this->is_on_trial() && this->in_flight > 0;
}

void target_load::record_result(bool failed, helpers::time_point now) {
    auto& counts = this->results.current(now);
    ++(failed ? counts.failures : counts.responses);
}

bool target_load::suspect(helpers::time_point now) {
    if (this->is_suspected(now))
        return false;
    if (now - this->suspected_until > suspicion_memory)
        this->suspicions = 0;
    const auto doublings = std::min(this->suspicions++, most_doublings);
    this->suspected_until = now + std::min(first_suspicion * (1U << doublings), longest_suspicion);
    return true;
}

} // namespace samphirespool::admission
