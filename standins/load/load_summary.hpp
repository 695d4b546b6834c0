// Counts and latencies of a run of the load tool.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace samphirespool::standins {

struct load_summary {
    std::uint64_t requests = 0;
    std::uint64_t answered_whole = 0;
    std::uint64_t refused_not_run = 0;
    std::uint64_t outcome_unknown = 0;
    // Responses that broke off visibly before their end.
    std::uint64_t broken = 0;
    // Responses that looked complete but did not match their request. Must be 0.
    std::uint64_t wrong = 0;
    std::uint64_t unanswered = 0;
    std::uint64_t tokens = 0;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t cached_tokens = 0;
    double seconds = 0;
    // In milliseconds; `first_byte` and `whole` from the time at which the request was due, `gaps`
    // between two pieces of a stream.
    std::vector<float> first_byte;
    std::vector<float> whole;
    std::vector<float> gaps;
    std::map<std::string, std::uint64_t> error_codes;
};

// One JSON object.
std::string to_json(load_summary& summary);

} // namespace samphirespool::standins
