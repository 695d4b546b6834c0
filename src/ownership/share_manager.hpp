// Share leases of one router: its part as follower and as owner of the region's shards, and the
// way of reservations to the owners. A router that is no member of a region's roster reserves
// through a member that sponsors it.
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
    void set_roster(const membership::roster& fresh);
    void on_message(const share_message& received);
    // What a target says of itself; taken only by the owner of its shard.
    void on_load_report(helpers::target_id target, const admission::load_report& report);

    // The shard of a target; nothing if the target is unknown.
    std::optional<shard_id> shard_of(helpers::target_id target) const;
    reservation_number start(reservation fresh) override;
    void finish(reservation_number number, admission::release::result how,
                helpers::duration first_byte) override;

    // Whether a new division of shares may come into force as far as this router goes: every grant
    // in use must be known to routers of two domains, or the new holder of a share could miss it.
    bool ready_for_roster() const;

    // Targets whose shard this router owns now; it should read their load reports.
    std::vector<helpers::target_id> owned_targets() const;
    // Whether no other router counts on this one any more, as an owner or as a witness.
    bool handed_over() const;
    const share_owner* owner_of(shard_id shard) const;
    std::optional<helpers::router_id> followed_owner(shard_id shard) const;
    std::size_t outstanding() const;
    std::size_t records_kept() const { return this->granted.size() + this->witnessed.size(); }
    std::vector<shard_id> shards() const;

    share_message& to(helpers::router_id receiver) override;

private:
    struct shard_state {
        helpers::service_id service;
        helpers::region_id region;
        double load_multiple = 1.25;
        std::vector<admission::ledger_target> targets;
        // Set in the own region only.
        std::unique_ptr<share_follower> follower;
        std::unique_ptr<share_owner> owner;
        admission::peer_load load;
    };

    void tick();
    void flush();
    void update_owners();
    void update_shard(shard_id id, shard_state& state);
    void follow_own_part(shard_id id, shard_state& state);
    void share_loads();
    void add_shard(shard_id id, shard_state& fresh, bool split_anew);
    std::optional<helpers::router_id> desired_owner(shard_id id) const;
    std::optional<helpers::router_id> sponsor_for(helpers::region_id region) const;
    bool reserves_itself(const shard_state& state) const;
    void ask_sponsor(reservation& wanted);
    void retry_sponsored();
    void adopt_sponsored();
    void take_reserve(helpers::router_id from, helpers::incarnation incarnation,
                      const reserve_item& item);
    bool is_former_grant(const grant_item& item);
    void end_expired();
    void take_lease_items(const share_message& received);
    void take_reservation_items(const share_message& received);
    void take_witness_items(const share_message& received);
    void take_sponsored_grant(helpers::router_id from, const grant_item& item);
    void take_sponsored_full(const no_capacity_item& item);
    shard_state* own_shard(shard_id id);

    kernel::loop& loop;
    membership::membership_view& view;
    share_outbox& outbox;
    share_timing timing;
    helpers::region_id own_region;
    membership::roster roster;
    reservation_table reservations;
    // Reservations that a member of another roster holds for this router.
    reservation_table sponsored;
    // The member that each sponsored reservation was asked of, or got its grant from.
    std::map<reservation_number, helpers::router_id> sponsors;
    // What this router granted to others before it gave a shard up, and what it witnesses.
    record_book granted;
    record_book witnessed;
    share_sponsor sponsor;
    std::map<shard_id, shard_state> states;
    std::unordered_map<helpers::target_id, shard_id> shard_by_target;
    std::map<helpers::router_id, share_message> batches;
    kernel::timer_id tick_timer = 0;
    kernel::timer_id flush_timer = 0;
    helpers::time_point next_slow_tick;
    // Changes of members that the owners have not been told of.
    bool view_changed = true;
    std::vector<helpers::router_id> over;
};

} // namespace samphirespool::ownership
