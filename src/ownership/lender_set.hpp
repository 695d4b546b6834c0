// The routers that lend their shares of one shard to this owner, and whose shares it may use.
//
// A share that was lent to another owner may be in use by a grant that this owner does not know. It
// is encumbered: unusable until the longest duration of a grant has passed, or until this owner
// provably knows every outstanding grant of the shard (complete()). Every grant is known to routers
// of two failure domains: its requester and its owner, or a witness if these two are in one domain.
// So the knowledge is complete if no member is missing, or if all members whose knowledge may be
// lost are in one domain. A domain is a data centre, or a single router if the roster has only one
// data centre.
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

// A router that lends its share, or whose lease expired and was not removed yet.
struct lender {
    helpers::incarnation incarnation;
    helpers::time_point lease_until;
    // Reading of this owner's clock in the challenge to which the registration replied.
    helpers::time_point registered_at;
    // The share may be in use by unknown grants until then, unless uses_known.
    helpers::time_point encumbered_until;
    // See promise_item::has_full_history.
    bool has_full_history = false;
    // Whether this owner knows every grant that uses the lender's share.
    bool uses_known = false;
    // Consecutive promises whose count or hash of outstanding grants differed from the records.
    std::uint32_t mismatched_promises = 0;

    bool lends(helpers::time_point now) const { return this->lease_until > now; }
};

class lender_set {
public:
    lender_set(const membership::membership_view& view, const share_timing& timing)
        : view(view), timing(timing) {}

    // A new settled version moves shares between members, so every share is encumbered again.
    void set_roster(const membership::roster& updated, helpers::time_point now);
    // Adds or replaces the sender as a lender. Returns null if the promise is too old or the sender
    // is no member of the roster.
    lender* add_registration(helpers::router_id from, helpers::incarnation incarnation,
                             const promise_item& promise, helpers::time_point now);
    // Extends the lease. Returns null if this incarnation of the router is not registered, or if
    // the promise is older than the registration or lies in the future.
    lender* renew(helpers::router_id from, helpers::incarnation incarnation,
                  const promise_item& promise, helpers::time_point now);
    // Ends the router's lease; promises from before `now` are ignored from then on.
    void release(helpers::router_id id, helpers::time_point now) {
        this->by_router.erase(id);
        this->released_at[id] = now;
    }
    void remove(helpers::router_id id) { this->by_router.erase(id); }
    void clear() { this->by_router.clear(); }

    const lender* find(helpers::router_id id) const;
    lender* find(helpers::router_id id);
    // Whether the router's lease is valid now.
    bool lends(helpers::router_id id, helpers::time_point now) const;
    const std::map<helpers::router_id, lender>& entries() const { return this->by_router; }

    // Whether this owner provably knows every outstanding grant of the shard.
    bool complete(helpers::time_point now) const;
    // Updates uses_known of all lenders. Returns the routers whose shares may be used now, in the
    // order of the roster.
    std::vector<helpers::router_id> usable(helpers::time_point now);
    // Sum of the routers' shares, in slots, of a target of the given capacity.
    std::uint32_t slots(const std::vector<helpers::router_id>& usable_routers,
                        std::uint32_t capacity) const;

    bool is_member(helpers::router_id id) const { return this->roster.find(id) != nullptr; }
    // Failure domain of a member; empty for other routers.
    std::string domain_of(helpers::router_id id) const;
    bool same_domain(helpers::router_id a, helpers::router_id b) const {
        return this->domain_of(a) == this->domain_of(b);
    }
    // Whether the router lends and is not leaving.
    bool may_witness(helpers::router_id id, helpers::time_point now) const;
    // The lender outside the requester's domain with the highest score for the shard, if any.
    std::optional<helpers::router_id> choose_witness(shard_id shard, helpers::router_id requester,
                                                     helpers::time_point now) const;

private:
    // The members, of the roster and of the previous one, whose knowledge of grants may be lost:
    // they do not lend to this owner or lack the full history.
    struct missing_members {
        // One of them may still be running, and other owners may use its share.
        bool any_not_lending = false;
        // All of them are in one domain.
        bool knowledge_in_one_domain = true;
        // Domain of the first of them; empty if there is none or it is no longer a member.
        std::string domain;

        // Whether the owner knows every grant that may use the share of a lender in the domain.
        // An owner that is partitioned off with its domain may grant that domain's shares without
        // a witness, so the missing members' domain must not be the lender's.
        bool knows_uses_of(const std::string& lender_domain) const {
            return !this->any_not_lending ||
                   (this->knowledge_in_one_domain && this->domain != lender_domain);
        }
    };

    missing_members find_missing(helpers::time_point now) const;
    bool has_stopped(helpers::router_id id) const;
    helpers::time_point lease_end(const promise_item& promise) const;

    const membership::membership_view& view;
    const share_timing& timing;
    membership::roster roster;
    bool several_data_centres = false;
    // When the current settled roster was set here.
    helpers::time_point settled_at{};
    std::map<helpers::router_id, helpers::time_point> released_at;
    std::map<helpers::router_id, lender> by_router;
};

} // namespace samphirespool::ownership
