// List of the live routers, for the distribution of the configuration and for claims.
#pragma once

#include "config/configuration_network.hpp"
#include "membership/membership_view.hpp"

#include <vector>

namespace samphirespool::router {

class member_directory final : public config::peer_directory {
public:
    explicit member_directory(membership::membership_view& view);

    const config::peer_router& self() const override { return this->self_router; }
    const std::vector<config::peer_router>& peers() const override { return this->peer_routers; }

private:
    void update_peers();

    membership::membership_view& view;
    config::peer_router self_router;
    // Invariant: the live members except this router.
    std::vector<config::peer_router> peer_routers;
};

} // namespace samphirespool::router
