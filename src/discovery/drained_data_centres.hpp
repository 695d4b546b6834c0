// The drained data centres as the registry names them. After the registry has come back from an
// older copy, data centres that were drained stay so until the operator's word is read again.
#pragma once

#include "discovery/feed.hpp"
#include "discovery/freshness.hpp"

#include <set>
#include <span>
#include <string>
#include <vector>

namespace samphirespool::discovery {

class drained_data_centres {
public:
    // The whole list, and changes of it.
    void replace(const std::vector<feed_object>& objects);
    void change(std::span<const feed_object> objects);

    // An older copy of the list follows.
    void on_source_restored(helpers::time_point now);
    // Forgets data centres that only the earlier list named. Returns whether there were any.
    bool expire(helpers::time_point now);

    std::set<std::string> names() const;

private:
    std::set<std::string> listed;
    // Were drained before the registry came back, and are not named in it since.
    std::set<std::string> held;
    helpers::time_point held_until{};
};

} // namespace samphirespool::discovery
