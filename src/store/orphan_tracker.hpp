// Decides which immutable objects may be deleted: those that the root (or head) does not reference
// and that no writer can add a reference to. A writer adds references only to objects that it wrote
// after it had read the version that it updates. So once an unreferenced object was observed and
// the root has been updated since, every update that would reference the object fails.
#pragma once

#include "helpers/time.hpp"
#include "store/object_store.hpp"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace samphirespool::store {

class orphan_tracker {
public:
    // `grace` is the minimum time between the first observation and the deletion of an object, for
    // slow readers of an old root.
    explicit orphan_tracker(helpers::duration grace) : grace(grace) {}

    // Evaluates a listing and the root that was read after it. Returns the objects to delete, with
    // the version that each must still have.
    std::vector<object> observe(const std::vector<object>& listed,
                                const std::function<bool(std::string_view key)>& is_referenced,
                                object_version root_version, helpers::time_point now);

private:
    struct observation {
        helpers::time_point since;
        object_version root_version = absent;
    };

    helpers::duration grace;
    // First observation of each object, by key. Invariant: holds only objects that were
    // unreferenced in every observation since.
    std::map<std::string, observation, std::less<>> orphans;
};

} // namespace samphirespool::store
