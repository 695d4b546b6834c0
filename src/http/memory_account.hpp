// Accounts for the bytes that a process holds for its callers: requests from their first byte on,
// and responses that callers have not read. What does not fit is not received; if the memory is
// used up, the parties that have held most for longest without progress are closed.
#pragma once

#include "admission/memory_budget.hpp"
#include "kernel/clock.hpp"

#include <boost/intrusive/list.hpp>

#include <cstdint>
#include <optional>

namespace samphirespool::http {

class memory_account;

// One party that bytes are held for.
class memory_holder : public boost::intrusive::list_base_hook<
                          boost::intrusive::link_mode<boost::intrusive::auto_unlink>> {
public:
    memory_holder() = default;
    memory_holder(const memory_holder&) = delete;
    memory_holder& operator=(const memory_holder&) = delete;

    std::size_t held() const { return this->bytes; }

    // Since when the party has neither sent nor read a notable part; nothing while it waits for
    // this process.
    virtual std::optional<helpers::time_point> stalled_since() const = 0;
    // The part of held() that ends with evict().
    virtual std::size_t evictable() const = 0;
    // Frees what is held, and closes the connection. Must not destroy the holder at once.
    virtual void evict() = 0;

protected:
    ~memory_holder() = default;

private:
    friend class memory_account;

    std::size_t bytes = 0;
};

struct memory_totals {
    // Requests that were refused because they did not fit.
    std::uint64_t refused = 0;
    std::uint64_t evicted = 0;
};

class memory_account {
public:
    // Updates the budget's use with each change.
    memory_account(admission::memory_budget& budget, const kernel::clock& time)
        : budget(budget), time(time) {}
    memory_account(const memory_account&) = delete;
    memory_account& operator=(const memory_account&) = delete;

    // Changes what a party holds if there is room for it, after others were evicted if need be.
    // Returns false, and changes nothing, if there is none.
    bool try_hold(memory_holder& holder, std::size_t bytes);
    // Changes what a party holds in any case, and then evicts until the account is in its bounds,
    // the party itself included.
    void hold(memory_holder& holder, std::size_t bytes);
    void release(memory_holder& holder) { this->set(holder, 0); }

    void count_refused() { ++this->counts.refused; }
    const memory_totals& totals() const { return this->counts; }
    std::size_t used() const { return this->budget.used(); }
    std::size_t limit() const { return this->budget.limit(); }

    // Parties that hold at most this much may use the memory that is reserved for them.
    static constexpr std::size_t small_bytes = std::size_t{64} << 10;
    // A party that moved something within this time is not evicted for a request that is not small.
    static constexpr helpers::duration min_stall = std::chrono::seconds(1);

private:
    using holder_list =
        boost::intrusive::list<memory_holder, boost::intrusive::constant_time_size<false>>;

    // Bytes that a party with so many may not use.
    std::size_t reserve_for(std::size_t bytes) const;
    bool is_over(std::size_t growth, std::size_t bytes) const;
    void set(memory_holder& holder, std::size_t bytes);
    void evict(memory_holder& holder);
    // The party that has held most for longest without progress, if it is worth evicting.
    memory_holder* find_stalled(const memory_holder* except);
    memory_holder* find_largest(const memory_holder* except, std::size_t above);

    admission::memory_budget& budget;
    const kernel::clock& time;
    // Invariant: contains exactly the parties that hold bytes.
    holder_list holders;
    memory_totals counts;
};

} // namespace samphirespool::http
