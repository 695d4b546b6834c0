// Thresholds of the memory budget.
#include "admission/memory_budget.hpp"

#include <algorithm>

namespace samphirespool::admission {

namespace {

// Part (1/n) of the free bytes that one response may buffer. Hundreds of slow readers together then
// leave memory to others, and the sum approaches the limit without reaching it.
constexpr std::size_t buffer_divisor = 256;
// Part (1/n) of the limit that new requests leave to those in progress.
constexpr std::size_t reserve_divisor = 10;

} // namespace

std::size_t memory_budget::free() const {
    return this->limit_bytes - std::min(this->limit_bytes, this->used_bytes);
}

bool memory_budget::admits(std::size_t bytes) const {
    return this->limit_bytes == 0 || this->free() >= this->limit_bytes / reserve_divisor + bytes;
}

std::size_t memory_budget::buffer_limit() const {
    return this->limit_bytes == 0 ? max_buffer
                                  : std::min(this->free() / buffer_divisor, max_buffer);
}

} // namespace samphirespool::admission
