// Bounds the bytes that a process holds for callers: requests that are arriving, queued or in
// progress, and responses that callers have not read yet. While little is free, reading from
// targets pauses earlier, so that slow readers share the memory; while almost nothing is free, new
// requests are rejected before they run. http/memory_account counts the bytes.
#pragma once

#include <cstddef>

namespace samphirespool::admission {

class memory_budget {
public:
    // Without a limit, everything is admitted.
    explicit memory_budget(std::size_t limit_bytes) : limit_bytes(limit_bytes) {}

    void set_used(std::size_t bytes) { this->used_bytes = bytes; }

    // Whether a new request with this many bytes may be accepted.
    bool admits(std::size_t bytes) const;
    // Reading from a target pauses while its caller has more than this to read.
    std::size_t buffer_limit() const;
    // Whether the limit is exceeded, so that a response has to be broken off.
    bool is_exceeded() const {
        return this->limit_bytes != 0 && this->used_bytes > this->limit_bytes;
    }

    std::size_t used() const { return this->used_bytes; }
    // 0 if there is none.
    std::size_t limit() const { return this->limit_bytes; }

    static constexpr std::size_t max_buffer = std::size_t{256} << 10;

private:
    std::size_t free() const;

    std::size_t limit_bytes;
    std::size_t used_bytes = 0;
};

} // namespace samphirespool::admission
