// Counts over a sliding window of time, kept in slices of it.
#pragma once

#include "helpers/time.hpp"

#include <algorithm>
#include <array>
#include <cstdint>

namespace samphirespool::admission {

// `Counts` has a += and is zero when it is made.
template <class Counts, std::size_t Slices>
class sliding_counts {
public:
    explicit sliding_counts(helpers::duration window)
        : slice(window / static_cast<std::int64_t>(Slices)) {}

    // Those of this moment.
    Counts& current(helpers::time_point now) {
        const auto index = now.time_since_epoch() / this->slice;
        for (auto passed = std::max(this->newest + 1, index - count + 1); passed <= index; ++passed)
            this->slices.at(index_of(passed)) = {};
        this->newest = std::max(this->newest, index);
        return this->slices.at(index_of(this->newest));
    }

    // The sum over the window, and at most a slice more.
    Counts sum(helpers::time_point now) const {
        const auto index = now.time_since_epoch() / this->slice;
        Counts result{};
        for (auto each = std::max<std::int64_t>(0, index - count + 1);
             each <= std::min(index, this->newest); ++each)
            result += this->slices.at(index_of(each));
        return result;
    }

private:
    // A slice more than the window, as the oldest one has only partly passed.
    static constexpr std::int64_t count = static_cast<std::int64_t>(Slices) + 1;

    static std::size_t index_of(std::int64_t slice) {
        return static_cast<std::size_t>(slice % count);
    }

    helpers::duration slice;
    // Invariant: those older than `newest` by `count` or more are never read.
    std::array<Counts, Slices + 1> slices{};
    std::int64_t newest = 0;
};

} // namespace samphirespool::admission
