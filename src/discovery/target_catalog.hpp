// The targets that are known, and which of them may get new work. Belief that a target is gone is
// delayed after an outage of the registry, since its leases lapse there while the target lives.
#pragma once

#include "discovery/target.hpp"
#include "kernel/event.hpp"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

namespace samphirespool::discovery {

struct tracked_target {
    // Unique within this process, also over lives under the same name.
    std::uint64_t serial = 0;
    target registration;
    std::uint64_t name_hash = 0;
    // Names this life of the target in messages between gateways. Two that meet by chance only
    // blur each other's counts.
    std::uint32_t incarnation_hash = 0;
    // Until then it bears only its service's cold rate.
    helpers::time_point cold_until{};
    // Long ago for targets of the first list, whose real age is unknown.
    helpers::time_point added_at{};
    // Its entry is gone from the registry; it may only be late. It gets no work meanwhile, unless
    // most targets of the service are missing, as after an outage of the registry.
    bool is_missing = false;
};

struct catalog_timing {
    // After an outage of the registry, live targets are back within about two seconds.
    helpers::duration recovery_grace = std::chrono::milliseconds(2200);
    // Added to a cold time: the report is some time old, and clocks drift.
    helpers::duration cold_margin = std::chrono::milliseconds(300);
};

class target_catalog {
public:
    target_catalog(kernel::event_sink& events, const catalog_timing& timing)
        : events(events), timing(timing) {}

    void replace(std::vector<target> registrations, helpers::time_point now);
    void update(target registration, helpers::time_point now);
    void remove(const std::string& name, helpers::time_point now);

    void on_registry_lost() { this->registry_unreachable = true; }
    void on_registry_regained(helpers::time_point now);

    // Drops targets whose delayed removal has become certain.
    void remove_expired(helpers::time_point now);

    void set_drained_data_centres(std::set<std::string> data_centres);
    bool is_drained(const std::string& data_centre) const {
        return this->drained.contains(data_centre);
    }

    // Another target answers at its address.
    void remove_replaced(std::uint64_t serial);

    std::span<const std::shared_ptr<tracked_target>> targets_of(helpers::service_id service) const;
    std::vector<std::shared_ptr<tracked_target>> all() const;
    bool is_eligible(const tracked_target& entry) const;

    // Runs after each change.
    void on_change(std::function<void()> handler) { this->change_handler = std::move(handler); }

private:
    using target_list = std::vector<std::shared_ptr<tracked_target>>;

    struct service_targets {
        target_list list;
        // Most of them are missing.
        bool is_mostly_missing = false;
    };

    void add(target registration, helpers::time_point now);
    void erase(const std::string& name, std::string_view reason);
    void log(std::string_view what, const tracked_target& entry, std::string_view reason);
    bool is_removal_uncertain(helpers::time_point now) const;
    void update_missing_state(helpers::service_id service);
    void notify();

    kernel::event_sink& events;
    catalog_timing timing;
    std::unordered_map<std::string, std::shared_ptr<tracked_target>> by_name;
    // Invariant: holds exactly the targets of by_name.
    std::unordered_map<helpers::service_id, service_targets> by_service;
    std::set<std::string> drained;
    bool has_first_list = false;
    bool registry_unreachable = false;
    helpers::time_point removals_uncertain_until{};
    std::uint64_t last_serial = 0;
    std::function<void()> change_handler;
};

} // namespace samphirespool::discovery
