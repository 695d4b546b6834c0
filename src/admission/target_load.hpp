// What this process knows of the load and soundness of one target: its own requests there exactly,
// those of others from the target's reports, which age.
#pragma once

#include "admission/fleet_outliers.hpp"
#include "admission/sliding_counts.hpp"
#include "helpers/time.hpp"

#include <cstdint>
#include <deque>

namespace samphirespool::admission {

struct occupancy_report {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

class target_load {
public:
    void on_sent(std::uint64_t prompt_tokens, helpers::time_point now);
    // The prompt was read: the first part of the answer is here, or the request has ended.
    void on_prompt_read(std::uint64_t prompt_tokens);
    void on_finished();

    // The target's own word, which is exact for a moment.
    void apply_report(const occupancy_report& given, helpers::time_point now);
    // What the other gateways together have there, by the exchange.
    void set_peer_requests(std::uint32_t count, helpers::time_point valid_until);

    // Requests there, of everyone. What others have there is taken for `usual` where no report
    // says more.
    double estimate(double usual, helpers::time_point now) const;
    // Others' requests by the newest report, or nothing known.
    double peer_requests(double usual, helpers::time_point now) const;
    std::uint32_t own_requests() const { return this->running; }
    std::uint64_t prompt_backlog() const { return this->backlog; }

    // Results of requests. A target that fails repeatedly gets nothing for a growing time, and then
    // one request to try it.
    void on_success();
    void on_failure(helpers::time_point now);
    bool is_ejected(helpers::time_point now) const;
    // Was ejected and is due for a trial, of which one is allowed at a time.
    bool is_on_trial() const { return this->failures >= failures_to_eject; }

    std::uint32_t consecutive_failures() const { return this->failures; }

    // What became of this process's requests here lately; the fleet judges by the sums of all.
    void record_result(bool failed, helpers::time_point now);
    result_counts recent_results(helpers::time_point now) const { return this->results.sum(now); }

    // The fleet's results show that it fails: it gets nothing until they are forgotten, and longer
    // each time. Returns false if that is so already.
    bool suspect(helpers::time_point now);
    bool is_suspected(helpers::time_point now) const { return now < this->suspected_until; }
    helpers::time_point suspicion_end() const { return this->suspected_until; }

    // Long enough for some requests of each target in a large fleet.
    static constexpr helpers::duration result_window = std::chrono::seconds(3);

    const std::deque<helpers::time_point>& recent_sends() const { return this->sends; }

private:
    // Two failures in a row with no success between are rarely chance.
    static constexpr std::uint32_t failures_to_eject = 2;
    static constexpr std::size_t kept_sends = 32;

    std::uint32_t running = 0;
    std::uint64_t backlog = 0;
    double reported_others = 0;
    helpers::time_point reported_at{};
    bool has_report = false;
    std::uint32_t exchanged_others = 0;
    helpers::time_point exchanged_until{};
    std::uint32_t failures = 0;
    helpers::time_point ejected_until{};
    sliding_counts<result_counts, 6> results{result_window};
    std::uint32_t suspicions = 0;
    helpers::time_point suspected_until{};
    std::deque<helpers::time_point> sends;
};

} // namespace samphirespool::admission
