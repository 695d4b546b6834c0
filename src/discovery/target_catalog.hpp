// The registered targets, and which of them may receive new requests. After an outage of the
// registry removals are delayed, since entries expire there while their targets are still running.
// After the registry has come back from an older copy, targets that had left stay out until they
// register again.
#pragma once

#include "discovery/departed_targets.hpp"
#include "discovery/freshness.hpp"
#include "discovery/target.hpp"
#include "kernel/event.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

namespace samphirespool::discovery {

// A registered target with the catalog's own data about it.
struct tracked_target {
    // Unique within this process, also across incarnations with the same name.
    std::uint64_t serial = 0;
    target registration;
    std::uint64_t name_hash = 0;
    // Identifies this incarnation of the target in messages between gateways. A hash collision only
    // mixes the counts of two targets.
    std::uint32_t incarnation_hash = 0;
    // Identifies the version of its software; see software_hash().
    std::uint32_t software_hash = 0;
    // Until then the target receives at most its service's cold rate.
    helpers::time_point cold_until{};
    // For targets of the first list, whose real age is unknown, a time well before that list.
    helpers::time_point added_at{};
    // Its entry was removed from the registry during or soon after an outage and may be registered
    // again. Meanwhile the target is not eligible, unless most targets of the service are missing,
    // which indicates an outage of the registry.
    bool is_missing = false;
    // It has said in a response that it is about to stop, which holds for the incarnation.
    bool is_leaving = false;
    // It is missing because the registry reported the removal, and not only in a list.
    bool was_removed = false;
};

struct catalog_timing {
    // Running targets register again within about two seconds after an outage of the registry.
    helpers::duration recovery_grace = std::chrono::milliseconds(2200);
    // Added to the remaining cold time, since the entry was written some time ago and clocks drift.
    helpers::duration cold_margin = std::chrono::milliseconds(300);
    // See restored_copy_time.
    helpers::duration restored_copy_time = discovery::restored_copy_time;
};

// Identifies a software version in messages between gateways; never 0. Versions are only compared.
std::uint32_t software_hash(std::string_view software);

class target_catalog {
public:
    target_catalog(kernel::event_sink& events, const catalog_timing& timing)
        : events(events), timing(timing) {}

    // Updates or adds all given targets and removes the others.
    void replace(std::vector<target> registrations, helpers::time_point now);
    // Updates a target, or adds it if its name is new. A registration with another start time,
    // address or service is a new incarnation, which replaces the former one.
    void update(target registration, helpers::time_point now);
    // Removes a target. During and soon after an outage of the registry, a target that is not
    // draining is only marked as missing.
    void remove(const std::string& name, helpers::time_point now);

    void on_registry_lost() { this->registry_unreachable = true; }
    void on_registry_regained(helpers::time_point now);

    // The registry has come back from an older copy, which is about to be read.
    void on_registry_restored(helpers::time_point now);

    // Adds targets whose entries were held back. Removes targets that are still missing after the
    // recovery grace period. Called regularly.
    void remove_expired(helpers::time_point now);

    void set_drained_data_centres(std::set<std::string> data_centres);
    bool is_drained(const std::string& data_centre) const {
        return this->drained.contains(data_centre);
    }

    // The target has said that it is about to stop. Whatever its entry says, it gets no new
    // requests.
    void mark_leaving(std::uint64_t serial);
    std::size_t leaving_count() const;

    // Removes a target at whose address another target responded.
    void remove_replaced(std::uint64_t serial, helpers::time_point now);

    std::span<const std::shared_ptr<tracked_target>> targets_of(helpers::service_id service) const;
    std::vector<std::shared_ptr<tracked_target>> all_targets() const;
    // Null if the target was removed.
    std::shared_ptr<tracked_target> find(std::uint64_t serial) const;
    std::shared_ptr<tracked_target> find(std::string_view name) const;
    // The software version of all targets that this catalog has seen in the service within the
    // given time, if there was only one.
    std::optional<std::uint32_t> only_software(helpers::service_id service, helpers::duration time,
                                               helpers::time_point now) const;
    // Whether the catalog has missed no target within the given time.
    bool is_complete_for(helpers::duration time, helpers::time_point now) const;
    // Whether the target may receive new requests.
    bool is_eligible(const tracked_target& entry) const;

    // The handler is called after each change.
    void on_change(std::function<void()> handler) { this->change_handler = std::move(handler); }

private:
    using target_list = std::vector<std::shared_ptr<tracked_target>>;

    struct service_targets {
        target_list list;
        // More than half of the targets are missing.
        bool is_mostly_missing = false;
    };

    // An entry of an older copy does not undo what the incarnation has said since.
    bool is_copy_believed(helpers::time_point now) const { return now >= this->copy_ends_at; }
    void hold_back(target registration);
    void add_held_back(helpers::time_point now);
    void add(target registration, helpers::time_point now);
    // Marks the target as missing and returns true if the removal of its entry is uncertain.
    bool mark_missing(tracked_target& entry, bool was_removed, helpers::time_point now);
    void remove_unlisted(const std::string& name, helpers::time_point now);
    void erase_departed(const std::string& name, std::string_view reason, helpers::time_point now);
    void erase(const std::string& name, std::string_view reason, helpers::time_point now);
    void log(std::string_view event, const tracked_target& entry, std::string_view reason);
    bool is_removal_uncertain(helpers::time_point now) const;
    void update_missing_state(helpers::service_id service);
    void notify();

    kernel::event_sink& events;
    catalog_timing timing;
    std::unordered_map<std::string, std::shared_ptr<tracked_target>> by_name;
    // Invariant: holds exactly the targets of by_name.
    std::unordered_map<helpers::service_id, service_targets> by_service;
    std::set<std::string> drained;
    // When a target of a version was last removed, by service and software hash.
    std::unordered_map<helpers::service_id, std::map<std::uint32_t, helpers::time_point>>
        former_software;
    bool has_first_list = false;
    // Since when the catalog has missed no target.
    helpers::time_point complete_since{};
    bool registry_unreachable = false;
    helpers::time_point removals_uncertain_until{};
    departed_targets departed;
    // Entries of departed incarnations in an older copy of the registry, by name. They are added if
    // they outlast the entry of a target that has stopped.
    std::map<std::string, target> held_back;
    helpers::time_point copy_ends_at{};
    std::uint64_t last_serial = 0;
    std::function<void()> change_handler;
};

} // namespace samphirespool::discovery
