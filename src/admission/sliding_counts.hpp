// Counters over a sliding time window, stored per time slice.
#pragma once

#include "helpers/time.hpp"

#include <algorithm>
#include <array>
#include <cstdint>

namespace samphirespool::admission {

// `Counts` needs operator+= and must be zero when value-initialised.
template <class Counts, std::size_t Slices>
class sliding_counts {
public:
    explicit sliding_counts(helpers::duration window)
        : slice(window / static_cast<std::int64_t>(Slices)) {}

    // Returns the counts of the current slice, to be incremented.
    Counts& current(helpers::time_point now) {
        const auto index = now.time_since_epoch() / this->slice;
        for (auto skipped = std::max(this->newest + 1, index - slice_count + 1); skipped <= index;
             ++skipped)
            this->slices.at(index_of(skipped)) = {};
        this->newest = std::max(this->newest, index);
        return this->slices.at(index_of(this->newest));
    }

    // Sums the counts of the window; includes at most one slice more.
    Counts sum(helpers::time_point now) const { return this->sum_of_latest(Slices + 1, now); }

    // Sums the counts of this many slices, the current one included; at most Slices + 1.
    Counts sum_of_latest(std::size_t count, helpers::time_point now) const {
        const auto index = now.time_since_epoch() / this->slice;
        Counts result{};
        for (auto i = std::max<std::int64_t>(0, index - static_cast<std::int64_t>(count) + 1);
             i <= std::min(index, this->newest); ++i)
            result += this->slices.at(index_of(i));
        return result;
    }

private:
    // One slice more than the window, because the oldest slice is only partly outside it.
    static constexpr std::int64_t slice_count = static_cast<std::int64_t>(Slices) + 1;

    static std::size_t index_of(std::int64_t slice) {
        return static_cast<std::size_t>(slice % slice_count);
    }

    helpers::duration slice;
    // Ring buffer. Invariant: slices older than `newest` by `slice_count` or more are never read.
    std::array<Counts, Slices + 1> slices{};
    std::int64_t newest = 0;
};

} // namespace samphirespool::admission
