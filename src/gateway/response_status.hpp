// What the status of a response states.
#pragma once

#include <algorithm>
#include <array>

namespace samphirespool::gateway {

inline bool is_success(int status) {
    constexpr int first_success = 200;
    constexpr int first_redirect = 300;
    return status >= first_success && status < first_redirect;
}

// Whether callers interpret the status as "the request was not executed".
inline bool means_not_run(int status) {
    constexpr std::array<int, 4> not_run_statuses{408, 421, 429, 503};
    return std::find(not_run_statuses.begin(), not_run_statuses.end(), status) !=
           not_run_statuses.end();
}

} // namespace samphirespool::gateway
