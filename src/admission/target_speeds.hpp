// How long work takes on the machines of targets now, as the targets state with their responses.
// Gateways tell each other, since one gateway alone hears from a target too rarely.
#pragma once

#include "helpers/time.hpp"

#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

namespace samphirespool::admission {

// What a target has stated last, as gateways tell each other.
struct target_speed {
    std::uint32_t incarnation_hash = 0;
    // Percent of the usual time; 100 is as usual, 250 takes 2.5 times as long.
    std::uint32_t percent = 100;
    // Time since the response that said so.
    helpers::duration age{};

    friend bool operator==(const target_speed&, const target_speed&) = default;
};

using target_speed_list = std::vector<target_speed>;

class target_speeds {
public:
    // The target has stated its speed in a response.
    void on_report(std::uint32_t target, std::uint32_t percent, helpers::time_point now);

    // Time that work takes at the target relative to the usual time. The figure loses half of its
    // weight in half_life; 1 if it is unknown or older than lifetime.
    double slowness(std::uint32_t target, helpers::time_point now) const;

    // The latest speeds other than 100, for the other gateways.
    target_speed_list announcements(helpers::time_point now) const;
    // Newer figures replace older ones.
    void merge(std::span<const target_speed> received, helpers::time_point now);

    // Number of targets that have stated a speed other than 100 within lifetime.
    std::size_t changed_count(helpers::time_point now) const;

    static constexpr helpers::duration half_life = std::chrono::milliseconds(300);
    // Machines change their speed every 600 ms, so an older figure says nothing.
    static constexpr helpers::duration lifetime = std::chrono::milliseconds(600);
    static constexpr std::size_t max_announced = 150;

private:
    struct entry {
        std::uint32_t percent = 100;
        helpers::time_point heard_at{};
    };

    void set(std::uint32_t target, const entry& latest, helpers::time_point now);

    std::unordered_map<std::uint32_t, entry> targets;
};

} // namespace samphirespool::admission
