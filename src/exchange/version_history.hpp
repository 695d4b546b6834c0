// The software versions that have served each service lately, by hash: those that may have begun a
// stream that has not ended. Kept in the store, since a fleet that was restarted as a whole sees
// only the versions that serve now.
#pragma once

#include "helpers/time.hpp"

#include <cstdint>
#include <map>
#include <set>

namespace samphirespool::exchange {

// By service; see helpers::id_of().
using version_lists = std::map<std::uint64_t, std::set<std::uint32_t>>;

class version_history {
public:
    // Versions that the store lists count as if they were serving now, since nothing says when they
    // last did.
    void load(const version_lists& listed, helpers::time_point now);

    // These versions serve now. `stream_lifetime` is the time for which streams of the service may
    // last; a version that served before it is forgotten while another one serves.
    void observe(std::uint64_t service, const std::set<std::uint32_t>& serving,
                 helpers::duration stream_lifetime, helpers::time_point now);

    // Forgets services that were not observed for long, since they are no longer configured.
    void expire(helpers::time_point now);

    std::set<std::uint32_t> versions(std::uint64_t service) const;
    version_lists all() const;
    // The versions of all services that have more than one.
    std::set<std::uint32_t> versions_of_mixed_services() const;
    std::size_t mixed_service_count() const;

private:
    struct service_history {
        // By version.
        std::map<std::uint32_t, helpers::time_point> last_seen;
        helpers::duration stream_lifetime{};
        helpers::time_point observed_at{};
    };

    std::map<std::uint64_t, service_history> services;
};

} // namespace samphirespool::exchange
