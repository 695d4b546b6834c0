// Slow start of targets that are new or have recovered: a window of requests in flight over all
// gateways. Each gateway keeps the window itself, from its own answers and the exchange's totals,
// and takes its part of what is free; no other messages are needed.
#pragma once

#include "helpers/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace samphirespool::admission {

// How a target answered a request, compared with the service's usual time to first byte.
enum class pace_answer : std::uint8_t {
    in_time,
    // Slower than usual; the window does not grow.
    slow,
    // Rejected, failed or much too late.
    bad,
};

enum class pace_change : std::uint8_t { none, opened, halved, ended };

// Figures of the target and its service, from the exchange.
struct pace_totals {
    // The target is listed in the totals. Those with failures always are.
    bool is_listed = false;
    // Requests of the other gateways in flight.
    std::uint32_t peers_in_flight = 0;
    // This gateway's requests in flight.
    std::uint32_t own_in_flight = 0;
    // Results of the other gateways within a sliding window.
    std::uint32_t peer_responses = 0;
    std::uint32_t peer_failures = 0;
    // Requests that this gateway assigns in the service until the next totals; the peers are
    // assumed to assign as many.
    double own_rate = 1;
    // Mean requests in flight on the targets of the service.
    double mean_load = 0;
};

class target_pace {
public:
    explicit target_pace(std::string self) : self(std::move(self)) {}

    // Names of all gateways; this one is added if it is missing.
    void set_members(std::vector<std::string> names);

    // Opens a window for a target that is new, or that was away and is not any more. A target that
    // goes away loses its window. `target` is the hash of its incarnation.
    pace_change observe(std::uint32_t target, std::uint32_t slots, bool is_new, bool is_away,
                        helpers::time_point now);
    // Whether this gateway's part of the target's window allows another request.
    bool may_send(std::uint32_t target, std::uint32_t own_in_flight, helpers::time_point now) const;

    pace_change on_answer(std::uint32_t target, pace_answer answer, helpers::time_point now);
    pace_change on_totals(std::uint32_t target, const pace_totals& totals, helpers::time_point now);

    // Removes targets that have not been observed for a time.
    void evict(helpers::time_point now);

    bool is_open(std::uint32_t target) const { return this->window(target).has_value(); }
    std::optional<std::uint32_t> window(std::uint32_t target) const;
    std::size_t open_count() const;

    // A window of this age ends, so that lost messages cannot hold a target back for good.
    static constexpr helpers::duration max_age = std::chrono::seconds(20);

private:
    struct open_window {
        std::uint32_t size = 1;
        helpers::time_point opened_at{};
        helpers::time_point halved_at{};
        // Answers in time of all gateways since the size last changed.
        std::uint32_t round_answers = 0;
        helpers::time_point round_began_at{};
        std::optional<pace_totals> totals;
        helpers::time_point totals_at{};
        // Since when the size has been at least the mean load of the service.
        std::optional<helpers::time_point> above_mean_since;
    };

    struct entry {
        bool is_away = false;
        std::uint32_t slots = 1;
        helpers::time_point seen_at{};
        std::optional<open_window> window;
    };

    std::uint32_t part_of(std::uint32_t target, std::uint32_t total) const;
    // Requests that this gateway may have in flight.
    std::uint32_t allowed(std::uint32_t target, const open_window& window,
                          helpers::time_point now) const;
    static bool has_totals(const open_window& window, helpers::time_point now);
    static pace_change halve(open_window& window, helpers::time_point now);
    pace_change finish_round(std::uint32_t target, entry& known, helpers::time_point now) const;

    std::string self;
    std::vector<std::string> members;
    std::unordered_map<std::uint32_t, entry> targets;
};

} // namespace samphirespool::admission
