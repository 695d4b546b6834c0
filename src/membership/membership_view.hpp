// Read access to the members of the fleet, and notification of changes.
#pragma once

#include "membership/member.hpp"

#include <functional>
#include <map>

namespace samphirespool::membership {

class membership_view {
public:
    virtual ~membership_view() = default;

    // Every known router by id, including this one and dead ones.
    virtual const std::map<helpers::router_id, member>& members() const = 0;
    virtual const member_record& self() const = 0;

    // Adds a listener that runs after a member's record changed; `now` is null if the record was
    // removed.
    virtual void
    on_change(std::function<void(helpers::router_id id, const member* now)> listener) = 0;

    const member* find(helpers::router_id id) const {
        const auto found = this->members().find(id);
        return found == this->members().end() ? nullptr : &found->second;
    }
};

} // namespace samphirespool::membership
