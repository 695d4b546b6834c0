// The live routers, as the spreading of the configuration and the claims see them.
#pragma once

#include "config/configuration_network.hpp"
#include "membership/membership_view.hpp"

#include <vector>

namespace samphirespool::router {

class member_directory final : public config::peer_directory {
public:
    explicit member_directory(membership::membership_view& view);

    const config::peer_router& self() const override { return this->own; }
    const std::vector<config::peer_router>& peers() const override { return this->others; }

private:
    void refresh();

    membership::membership_view& view;
    config::peer_router own;
    // Invariant: the live members without the own one.
    std::vector<config::peer_router> others;
};

} // namespace samphirespool::router
