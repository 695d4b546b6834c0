// Incarnations of targets whose entries were removed. An older copy of the registry, or the target
// itself, can bring their entries back while they still run.
#pragma once

#include "discovery/target.hpp"
#include "helpers/time.hpp"

#include <map>
#include <string>
#include <utility>

namespace samphirespool::discovery {

class departed_targets {
public:
    // `is_leaving`: the target itself has said that it is about to stop.
    void record(const target& removed, bool is_leaving, helpers::time_point now);
    bool contains(const target& incarnation) const;
    bool is_leaving(const target& incarnation) const;
    void forget(const target& incarnation);

    // Copies of the registry are some seconds old, and targets stop within a minute after they
    // left.
    static constexpr helpers::duration remembered_for = std::chrono::minutes(2);
    static constexpr std::size_t max_remembered = 8192;

private:
    // Name and start of an incarnation.
    using key = std::pair<std::string, std::int64_t>;

    static key key_of(const target& incarnation) {
        return {incarnation.name, incarnation.started_at};
    }
    void forget_oldest(helpers::time_point now);

    struct departure {
        helpers::time_point at{};
        bool is_leaving = false;
    };

    std::map<key, departure> departures;
};

} // namespace samphirespool::discovery
