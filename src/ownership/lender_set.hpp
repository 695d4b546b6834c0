// Which routers lend their shares of one shard to this owner, and whose shares it may use.
//
// A share that was lent to another owner may be in use by a grant that this owner has not heard of;
// it is encumbered until the longest life of a grant has passed, or until this owner provably knows
// every outstanding grant of the shard (complete()). Every grant is known to routers of two failure
// domains: its requester and its owner, or a witness if these two are of one domain. So the
// knowledge is complete if nobody is missing, or if all whose knowledge may be lost are of one
// domain. A domain is a data centre, or a router if the roster has only one data centre.
#pragma once

#include "kernel/clock.hpp"
#include "membership/membership_view.hpp"
#include "membership/roster.hpp"
#include "ownership/message.hpp"
#include "ownership/share_timing.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace samphirespool::ownership {

struct lender {
    helpers::incarnation incarnation;
    helpers::time_point lease_until;
    // Reading of this owner's clock in the challenge that was answered by the registration.
    helpers::time_point registered_at;
    helpers::time_point encumbered_until;
    bool has_full_history = false;
    // Whether this owner knows every grant that uses the lender's shares.
    bool clean = false;
    // Promises in a row whose count or hash of outstanding reservations differed.
    std::uint32_t differing = 0;

    bool lends(helpers::time_point now) const { return this->lease_until > now; }
};

class lender_set {
public:
    lender_set(const membership::membership_view& view, const share_timing& timing)
        : view(view), timing(timing) {}

    // A new settled version shifts shares between members, so nothing is clean any more.
    void set_roster(const membership::roster& fresh, helpers::time_point now);
    // Takes a registration. Returns nothing if the promise is too old or names no member.
    lender* take_registration(helpers::router_id from, helpers::incarnation incarnation,
                              const promise_item& promise, helpers::time_point now);
    // Extends the lease. Returns nothing unless the lender is registered.
    lender* renew(helpers::router_id from, helpers::incarnation incarnation,
                  const promise_item& promise, helpers::time_point now);
    // The router takes its shares back: no promise from before counts any more.
    void release(helpers::router_id id, helpers::time_point now) {
        this->lenders.erase(id);
        this->released_at[id] = now;
    }
    void remove(helpers::router_id id) { this->lenders.erase(id); }
    void clear() { this->lenders.clear(); }

    const lender* find(helpers::router_id id) const;
    lender* find(helpers::router_id id);
    // Whether the router lends now.
    bool lends(helpers::router_id id, helpers::time_point now) const;
    const std::map<helpers::router_id, lender>& all() const { return this->lenders; }

    // Whether this owner provably knows every outstanding grant of the shard.
    bool complete(helpers::time_point now) const;
    // Marks lenders clean where that holds; returns whose shares may be used now, in order.
    std::vector<helpers::router_id> usable(helpers::time_point now);
    // Slots of a target of the given capacity that the routers' shares add up to.
    std::uint32_t slots(const std::vector<helpers::router_id>& usable_routers,
                        std::uint32_t capacity) const;

    bool is_member(helpers::router_id id) const { return this->roster.find(id) != nullptr; }
    // Failure domain of a member; empty for others.
    std::string domain_of(helpers::router_id id) const;
    bool same_domain(helpers::router_id a, helpers::router_id b) const {
        return this->domain_of(a) == this->domain_of(b);
    }
    // Whether the router lends and is not about to leave.
    bool may_witness(helpers::router_id id, helpers::time_point now) const;
    // A lender outside the domain that keeps a grant's record, if there is one.
    std::optional<helpers::router_id> choose_witness(shard_id shard, helpers::router_id requester,
                                                     helpers::time_point now) const;

private:
    struct missing_members {
        bool any_silent = false;
        bool knowledge_in_one_domain = true;
        // The domain whose knowledge may be lost; empty: none, or more than one.
        std::string domain;

        // Whether the owner knows every grant that may use the shares of a lender of the domain.
        // An owner cut off with its domain may grant its own domain's shares without a witness.
        bool knows_uses_of(const std::string& lender_domain) const {
            return !this->any_silent ||
                   (this->knowledge_in_one_domain && this->domain != lender_domain);
        }
    };

    missing_members find_missing(helpers::time_point now) const;
    bool is_over(helpers::router_id id) const;
    helpers::time_point lease_end(const promise_item& promise) const;

    const membership::membership_view& view;
    const share_timing& timing;
    membership::roster roster;
    bool several_data_centres = false;
    // When the present division of shares came into force here.
    helpers::time_point settled_at{};
    std::map<helpers::router_id, helpers::time_point> released_at;
    std::map<helpers::router_id, lender> lenders;
};

} // namespace samphirespool::ownership
