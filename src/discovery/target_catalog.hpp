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

struct known_target {
    // Unique within this process, also over lives under the same name.
    std::uint64_t serial = 0;
    target facts;
    std::uint64_t name_hash = 0;
    // Names this life of the target in messages between gateways. Two that meet by chance only
    // blur each other's counts.
    std::uint32_t life_hash = 0;
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
    helpers::duration return_after_outage = std::chrono::milliseconds(2200);
    // Added to a cold time: the report is some time old, and clocks drift.
    helpers::duration cold_margin = std::chrono::milliseconds(300);
};

class target_catalog {
public:
    target_catalog(kernel::event_sink& events, const catalog_timing& timing)
        : events(events), timing(timing) {}

    void replace(std::vector<target> all, helpers::time_point now);
    void update(target changed, helpers::time_point now);
    void remove(const std::string& name, helpers::time_point now);

    void registry_lost() { this->registry_away = true; }
    void registry_regained(helpers::time_point now);

    // Drops targets whose delayed removal has become certain.
    void settle(helpers::time_point now);

    void set_departed(std::set<std::string> data_centres);
    bool is_departed(const std::string& data_centre) const {
        return this->departed.contains(data_centre);
    }

    // Another target answers at its address.
    void note_replaced(std::uint64_t serial);

    std::span<const std::shared_ptr<known_target>> targets_of(helpers::service_id service) const;
    std::vector<std::shared_ptr<known_target>> all() const;
    bool may_get_work(const known_target& which) const;

    // Runs after each change.
    void on_change(std::function<void()> work) { this->changed = std::move(work); }

private:
    using target_list = std::vector<std::shared_ptr<known_target>>;

    struct service_targets {
        target_list list;
        // Most of them are missing.
        bool is_mostly_missing = false;
    };

    void add(target facts, helpers::time_point now);
    void erase(const std::string& name, std::string_view why);
    void log(std::string_view what, const known_target& which, std::string_view why);
    bool removal_is_uncertain(helpers::time_point now) const;
    void count_missing(helpers::service_id service);
    void tell();

    kernel::event_sink& events;
    catalog_timing timing;
    std::unordered_map<std::string, std::shared_ptr<known_target>> by_name;
    // Invariant: holds exactly the targets of by_name.
    std::unordered_map<helpers::service_id, service_targets> by_service;
    std::set<std::string> departed;
    bool has_first_list = false;
    bool registry_away = false;
    helpers::time_point uncertain_until{};
    std::uint64_t last_serial = 0;
    std::function<void()> changed;
};

} // namespace samphirespool::discovery
