// The member records of a router, and the updates that it still disseminates.
#pragma once

#include "kernel/clock.hpp"
#include "membership/membership_view.hpp"

#include <cstddef>
#include <vector>

namespace samphirespool::membership {

class member_table final : public membership_view {
public:
    member_table(const kernel::clock& time, const member_record& self);

    const std::map<helpers::router_id, member>& members() const override { return this->by_id; }
    const member_record& self() const override { return this->own()->record; }
    void on_change(std::function<void(helpers::router_id id, const member* now)> listener) override;

    // Stores the record if it supersedes the known one; returns whether it did. A wrong record of
    // this router itself is refuted by one with a higher sequence.
    bool merge(const member_record& received);
    // Changes the health of a member at the same incarnation and sequence.
    void set_health(helpers::router_id id, member_health health);
    void change_self(member_state state, member_health health);
    void update_configuration(helpers::router_id id, config::configuration_version version);
    void remove(helpers::router_id id);

    // Updates for one message, those sent least often first; counts them as sent.
    std::vector<member_record> next_updates(std::size_t limit);
    // Disseminates the record again, like a new update.
    void schedule_update(helpers::router_id id) { this->send_counts[id] = 0; }

    // Hash over all records; equal tables have equal digests.
    std::uint64_t digest() const { return this->hash_sum; }
    std::size_t live_count() const;
    // Whether another process runs under this router's name with a later incarnation.
    bool superseded() const { return this->newer_incarnation_seen; }

private:
    member* own() { return &this->by_id.at(this->self_id); }
    const member* own() const { return &this->by_id.at(this->self_id); }
    bool merge_own_record(const member_record& received);
    void store(const member_record& updated);
    void notify_listeners(helpers::router_id id);

    const kernel::clock& time;
    helpers::router_id self_id;
    std::map<helpers::router_id, member> by_id;
    // How often each recent update was sent. Invariant: every key is in `by_id`.
    std::map<helpers::router_id, std::size_t> send_counts;
    std::vector<std::function<void(helpers::router_id, const member*)>> listeners;
    // Invariant: sum of the hashes of all records.
    std::uint64_t hash_sum = 0;
    bool newer_incarnation_seen = false;
};

} // namespace samphirespool::membership
