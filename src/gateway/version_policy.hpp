// Which software versions of a service may receive a request; asked by the dispatcher.
#pragma once

#include "discovery/target_catalog.hpp"
#include "rollout/rollout_view.hpp"

namespace samphirespool::gateway {

class version_policy {
public:
    virtual ~version_policy() = default;

    // Called once for each request that needs a target. `is_retry`: an earlier attempt has reached
    // a target.
    virtual rollout::side choose_side(helpers::service_id service, rollout::route_key route,
                                      bool is_retry, helpers::time_point now) = 0;
    // Whether the target may receive a request of that side.
    virtual bool is_allowed(const discovery::tracked_target& target, rollout::side side,
                            helpers::time_point now) = 0;
    // Whether a stream that the target's version began may go on there.
    virtual bool may_continue(const discovery::tracked_target& target, helpers::time_point now) = 0;
};

} // namespace samphirespool::gateway
