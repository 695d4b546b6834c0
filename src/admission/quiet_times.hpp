// Times for which targets have asked this gateway to send them nothing, with a rejection. After it
// a target returns in steps, so that not all that waited is sent to it in one moment.
#pragma once

#include "helpers/time.hpp"

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace samphirespool::admission {

// Reads a number of seconds, possibly with a fraction. Returns nothing if the text is not one, or
// negative. Long times are shortened to quiet_times::max_time.
std::optional<helpers::duration> parse_quiet_time(std::string_view text);

class quiet_times {
public:
    // By the hash of the target's incarnation, which its entry keeps when it is removed and
    // returns.
    using target_id = std::uint32_t;

    // A longer time is taken for an error.
    static constexpr helpers::duration max_time = std::chrono::hours(1);
    // After the end of the time the requests that are allowed grow for this long.
    static constexpr helpers::duration return_time = std::chrono::seconds(1);

    // The target has asked for nothing from now on; an earlier, longer time stays.
    void on_rejection(target_id target, helpers::duration time, helpers::time_point now);
    void on_sent(target_id target, helpers::time_point now);

    bool is_quiet(target_id target, helpers::time_point now) const;
    // False during the time, and after it above the requests that its step allows: one, and then
    // more up to `slots` until return_time has passed.
    bool may_send(target_id target, std::uint32_t slots, helpers::time_point now) const;
    // Time until the target may get requests again; zero if it may.
    helpers::duration time_left(target_id target, helpers::time_point now) const;
    std::size_t quiet_count(helpers::time_point now) const;

private:
    struct quiet_time {
        helpers::time_point until{};
        // Requests since the end of the time.
        std::uint32_t sent = 0;
    };

    void forget_expired(helpers::time_point now);

    std::unordered_map<target_id, quiet_time> times;
};

} // namespace samphirespool::admission
