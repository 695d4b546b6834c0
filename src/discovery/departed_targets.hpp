// Incarnations of targets whose entries were removed. An older copy of the registry can bring their
// entries back while they still run.
#pragma once

#include "discovery/target.hpp"
#include "helpers/time.hpp"

#include <map>
#include <string>
#include <utility>

namespace samphirespool::discovery {

class departed_targets {
public:
    void record(const target& removed, helpers::time_point now);
    bool contains(const target& incarnation) const;
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

    std::map<key, helpers::time_point> departed_at;
};

} // namespace samphirespool::discovery
