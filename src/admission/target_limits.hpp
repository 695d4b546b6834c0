// The limits that targets in need name for the requests that they take from all gateways together,
// and this gateway's share of them. Gateways tell each other of limits, since in a large fleet each
// one reaches a target rarely, and divide a limit by their member lists, without further messages.
#pragma once

#include "helpers/time.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace samphirespool::admission {

// What a target has said last, as gateways tell each other.
struct target_limit {
    std::uint32_t incarnation_hash = 0;
    // Requests per second; empty if the target names no limit any more.
    std::optional<double> per_second;
    // Time since the response that said so.
    helpers::duration age{};

    friend bool operator==(const target_limit&, const target_limit&) = default;
};

using target_limit_list = std::vector<target_limit>;

// Reads a limit in requests per second. Returns nothing if the text is not a number of at least 0.
std::optional<double> parse_request_rate(std::string_view text);

class target_limits {
public:
    explicit target_limits(std::string self) : self(std::move(self)) {}

    // Names of all gateways; this one is added if it is missing. Until the first call there is no
    // share.
    void set_members(std::vector<std::string> names);

    // The target has responded and named this limit, or none. Returns true if that is a change.
    bool on_response(std::uint32_t target, std::optional<double> per_second,
                     helpers::time_point now);
    // A request was assigned to the target.
    void on_sent(std::uint32_t target, helpers::time_point now);
    // Whether this gateway's share of the target's limit allows a request now.
    bool may_send(std::uint32_t target, helpers::time_point now) const;

    // The limits to tell other gateways about: those that have changed within the last second, and
    // the others in one of each five seconds.
    target_limit_list announcements(helpers::time_point now) const;
    // Returns the limits that have changed.
    target_limit_list merge(std::span<const target_limit> received, helpers::time_point now);

    std::size_t limited_count() const;

    static constexpr std::size_t max_announced = 256;

private:
    struct entry {
        std::optional<double> per_second;
        helpers::time_point heard_at{};
        helpers::time_point changed_at{};
        // Times of this gateway's requests within the window of the limit, oldest first.
        std::deque<helpers::time_point> sent;
    };

    std::size_t share_of(std::uint32_t target, std::size_t total) const;
    void remove_expired(helpers::time_point now);

    std::string self;
    std::vector<std::string> members;
    // Targets that name a limit, or did so recently, by incarnation.
    std::unordered_map<std::uint32_t, entry> targets;
};

} // namespace samphirespool::admission
