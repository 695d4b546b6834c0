// Decides which immutable objects may be deleted: those that the root (or head) no longer names
// and that no writer can name any more. A writer names only objects that it wrote after it read
// the version it updates; so once an unnamed object was seen and the root was updated since, every
// update that would name it fails.
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
    // Slow readers of an old root have this long before an object goes.
    explicit orphan_tracker(helpers::duration grace) : grace(grace) {}

    // Takes a listing and the root that was read after it. Returns the objects to delete, with the
    // version that each must still have.
    std::vector<object> observe(const std::vector<object>& listed,
                                const std::function<bool(std::string_view key)>& is_named,
                                object_version root_version, helpers::time_point now);

private:
    struct sighting {
        helpers::time_point since;
        object_version root_version = absent;
    };

    helpers::duration grace;
    // Invariant: holds only objects that were unnamed in every observation since.
    std::map<std::string, sighting, std::less<>> orphans;
};

} // namespace samphirespool::store
