// The records that a router holds, and the updates that it still passes on.
#pragma once

#include "kernel/clock.hpp"
#include "membership/membership_view.hpp"

#include <cstddef>
#include <vector>

namespace samphirespool::membership {

class member_table final : public membership_view {
public:
    member_table(const kernel::clock& time, const member_record& self);

    const std::map<helpers::router_id, member>& members() const override { return this->known; }
    const member_record& self() const override { return this->own()->record; }
    void on_change(std::function<void(helpers::router_id id, const member* now)> listener) override;

    // Takes the record if it supersedes the known one. Returns whether it did. A wrong statement
    // about this router itself is refuted instead.
    bool merge(const member_record& fresh);
    // States a new health of a member without new word from it.
    void judge(helpers::router_id id, member_health health);
    void change_self(member_state state, member_health health);
    void note_configuration(helpers::router_id id, config::configuration_version version);
    void forget(helpers::router_id id);

    // Updates for one message, those passed on least first; counts them as passed on.
    std::vector<member_record> take_updates(std::size_t limit);
    // Passes the record on again, as if it were new.
    void spread(helpers::router_id id) { this->passed_on[id] = 0; }

    // Hash over all records; equal tables have equal digests.
    std::uint64_t digest() const { return this->hash_sum; }
    std::size_t live_count() const;
    // Whether another process runs under this router's name with a later life.
    bool superseded() const { return this->later_incarnation_seen; }

private:
    member* own() { return &this->known.at(this->self_id); }
    const member* own() const { return &this->known.at(this->self_id); }
    bool merge_self(const member_record& fresh);
    void store(const member_record& fresh);
    void announce(helpers::router_id id);

    const kernel::clock& time;
    helpers::router_id self_id;
    std::map<helpers::router_id, member> known;
    // How often each recent update was passed on. Invariant: keys are known.
    std::map<helpers::router_id, std::size_t> passed_on;
    std::vector<std::function<void(helpers::router_id, const member*)>> listeners;
    // Invariant: sum of the hashes of all records.
    std::uint64_t hash_sum = 0;
    bool later_incarnation_seen = false;
};

} // namespace samphirespool::membership
