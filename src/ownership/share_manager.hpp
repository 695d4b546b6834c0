// Share leases of one router: holds its follower and owner of each of the region's shards, and
// routes reservations to the owners. A router outside a region's roster reserves through a sponsor,
// a member of that roster.
#pragma once

#include "config/fleet_configuration.hpp"
#include "kernel/loop.hpp"
#include "ownership/share_follower.hpp"
#include "ownership/share_owner.hpp"
#include "ownership/share_sponsor.hpp"

#include <map>
#include <memory>
#include <span>
#include <unordered_map>
#include <vector>

namespace samphirespool::ownership {

// The targets of one service in one region.
struct service_targets {
    helpers::service_id service;
    helpers::region_id region;
    std::uint32_t shards = 1;
    double load_multiple = 1.25;
    std::vector<admission::ledger_target> targets;
};

class share_manager final : public share_mailbox, public reservation_starter {
public:
    share_manager(kernel::loop& loop, membership::membership_view& view, share_outbox& outbox,
                  share_timing timing = {});
    ~share_manager() override;
    share_manager(const share_manager&) = delete;
    share_manager& operator=(const share_manager&) = delete;

    // Replaces the targets of all services and regions.
    void set_services(std::span<const service_targets> services);
    void set_roster(const membership::roster& updated);
    void on_message(const share_message& received);
    // A load report of a target; ignored unless this router owns the target's shard.
    void on_load_report(helpers::target_id target, const admission::load_report& report);

    // The shard of a target; nullopt if the target is unknown.
    std::optional<shard_id> shard_of(helpers::target_id target) const;
    reservation_number start(reservation added) override;
    void finish(reservation_number number, admission::release::result result,
                helpers::duration first_byte) override;

    // Whether this router agrees to settle the roster's new division of shares. Every grant in use
    // must be known to routers of two failure domains, or the new holder of a share could miss it.
    bool ready_for_roster() const;

    // Targets whose shard this router owns now; it should read their load reports.
    std::vector<helpers::target_id> owned_targets() const;
    // Whether no other router depends on this one any more, as an owner or as a witness.
    bool handed_over() const;
    // This router's owner object of the shard, active or not; null outside the own region.
    const share_owner* owner_of(shard_id shard) const;
    // The owner that this router is registered with, if any.
    std::optional<helpers::router_id> followed_owner(shard_id shard) const;
    // Number of granted reservations that have not finished.
    std::size_t outstanding() const;
    std::size_t kept_record_count() const {
        return this->former_grants.size() + this->witnessed_grants.size();
    }
    std::vector<shard_id> shards() const;

    share_message& to(helpers::router_id receiver) override;

private:
    struct shard_state {
        helpers::service_id service;
        helpers::region_id region;
        double load_multiple = 1.25;
        std::vector<admission::ledger_target> targets;
        // Both are set in the own region only.
        std::unique_ptr<share_follower> follower;
        std::unique_ptr<share_owner> owner;
        // From the owner's last challenge.
        admission::peer_load load;
    };

    void tick();
    void flush();
    void update_owners();
    void update_shard(shard_id id, shard_state& state);
    void update_owner_role(shard_id id, shard_state& state);
    void distribute_loads();
    void add_shard(shard_id id, shard_state& updated, bool resharded);
    std::optional<helpers::router_id> desired_owner(shard_id id) const;
    std::optional<helpers::router_id> sponsor_for(helpers::region_id region) const;
    bool reserves_directly(const shard_state& state) const;
    void send_to_sponsor(reservation& pending);
    void retry_sponsored();
    void adopt_sponsored();
    void handle_reserve(helpers::router_id from, helpers::incarnation incarnation,
                        const reserve_item& item);
    bool is_superseded_grant(const grant_item& item);
    void finish_expired_sponsored();
    void handle_lease_items(const share_message& received);
    void handle_reservation_items(const share_message& received);
    void handle_witness_items(const share_message& received);
    void handle_sponsored_grant(helpers::router_id from, const grant_item& item);
    void handle_sponsored_no_capacity(const no_capacity_item& item);
    shard_state* own_shard(shard_id id);

    kernel::loop& loop;
    membership::membership_view& view;
    share_outbox& outbox;
    share_timing timing;
    helpers::region_id own_region;
    membership::roster roster;
    reservation_table reservations;
    // Reservations that sponsors hold for this router.
    reservation_table sponsored_reservations;
    // The sponsor that each sponsored reservation was sent to or granted by.
    std::map<reservation_number, helpers::router_id> sponsors;
    // Grants to other routers that this router made as an owner before it was deactivated, and
    // grants of other owners that it recorded as a witness.
    grant_record_table former_grants;
    grant_record_table witnessed_grants;
    share_sponsor sponsor;
    std::map<shard_id, shard_state> states;
    std::unordered_map<helpers::target_id, shard_id> shard_by_target;
    std::map<helpers::router_id, share_message> batches;
    kernel::timer_id tick_timer = 0;
    kernel::timer_id flush_timer = 0;
    helpers::time_point next_slow_tick;
    // Members changed and update_owners() was not called since.
    bool view_changed = true;
    // Routers that stopped since the last update_owners().
    std::vector<helpers::router_id> stopped_routers;
};

} // namespace samphirespool::ownership
