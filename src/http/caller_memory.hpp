// The memory of a process for its callers, and the account of it.
#pragma once

#include "http/memory_account.hpp"

#include <limits>

namespace samphirespool::http {

class caller_memory {
public:
    // Half of the process's memory; the rest is for the program, its connections and its state.
    caller_memory(std::size_t memory_limit_mb, const kernel::clock& time)
        : thresholds(memory_limit_mb * half_megabyte), held(thresholds, time) {}

    admission::memory_budget& budget() { return this->thresholds; }
    memory_account& account() { return this->held; }
    const memory_account& account() const { return this->held; }
    // How many open connections fit a quarter of the memory, whatever they hold besides.
    std::size_t max_connections(bool is_secure) const {
        const auto limit = this->thresholds.limit();
        return limit == 0
                   ? std::numeric_limits<std::size_t>::max()
                   : limit / 2 / (is_secure ? secure_connection_bytes : plain_connection_bytes);
    }

private:
    static constexpr std::size_t half_megabyte = std::size_t{1} << 19;
    static constexpr std::size_t plain_connection_bytes = std::size_t{8} << 10;
    static constexpr std::size_t secure_connection_bytes = std::size_t{48} << 10;

    admission::memory_budget thresholds;
    memory_account held;
};

} // namespace samphirespool::http
