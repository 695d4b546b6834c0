// Room for parties, and the choice of those that are evicted.
#include "http/memory_account.hpp"

#include <algorithm>

namespace samphirespool::http {

namespace {

// Part (1/n) of the limit that is reserved for small requests.
constexpr std::size_t reserve_divisor = 8;

} // namespace

std::size_t memory_account::reserve_for(std::size_t bytes) const {
    return bytes <= small_bytes ? 0 : this->budget.limit() / reserve_divisor;
}

bool memory_account::is_over(std::size_t growth, std::size_t bytes) const {
    return this->budget.limit() != 0 &&
           this->budget.used() + growth + this->reserve_for(bytes) > this->budget.limit();
}

bool memory_account::try_hold(memory_holder& holder, std::size_t bytes) {
    if (bytes > holder.bytes) {
        while (this->is_over(bytes - holder.bytes, bytes)) {
            auto* found = this->find_stalled(&holder);
            if (found == nullptr && bytes <= small_bytes)
                found = this->find_largest(&holder, small_bytes);
            if (found == nullptr)
                return false;
            this->evict(*found);
        }
    }
    this->set(holder, bytes);
    return true;
}

void memory_account::hold(memory_holder& holder, std::size_t bytes) {
    const bool has_grown = bytes > holder.bytes;
    this->set(holder, bytes);
    while (has_grown && this->is_over(0, bytes)) {
        auto* found = this->find_stalled(nullptr);
        if (found == nullptr)
            found = this->find_largest(nullptr, 0);
        if (found == nullptr)
            return;
        this->evict(*found);
    }
}

void memory_account::set(memory_holder& holder, std::size_t bytes) {
    this->budget.set_used(this->budget.used() - holder.bytes + bytes);
    holder.bytes = bytes;
    if (bytes == 0)
        holder.unlink();
    else if (!holder.is_linked())
        this->holders.push_back(holder);
}

void memory_account::evict(memory_holder& holder) {
    ++this->counts.evicted;
    holder.evict();
    this->release(holder);
}

memory_holder* memory_account::find_stalled(const memory_holder* except) {
    const auto now = this->time.now();
    memory_holder* found = nullptr;
    double most = 0;
    for (auto& each : this->holders) {
        const auto since = &each == except ? std::nullopt : each.stalled_since();
        if (!since || now - *since < min_stall)
            continue;
        const auto weight = static_cast<double>(each.evictable()) *
                            std::chrono::duration<double>(now - *since).count();
        if (weight > most) {
            most = weight;
            found = &each;
        }
    }
    return found;
}

memory_holder* memory_account::find_largest(const memory_holder* except, std::size_t above) {
    memory_holder* found = nullptr;
    for (auto& each : this->holders) {
        if (&each == except || each.evictable() <= above)
            continue;
        above = each.evictable();
        found = &each;
    }
    return found;
}

} // namespace samphirespool::http
