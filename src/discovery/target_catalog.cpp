// Applies changes of the registry, and delays removals after its outages.
#include "discovery/target_catalog.hpp"

#include <algorithm>
#include <utility>

namespace samphirespool::discovery {

namespace {

// Age assumed for targets that were registered before this process started.
constexpr helpers::duration assumed_initial_age = std::chrono::hours(1);

std::uint32_t incarnation_hash_of(const target& registration) {
    return static_cast<std::uint32_t>(
        helpers::hash_name(registration.name + "@" + std::to_string(registration.started_at)));
}

} // namespace

std::uint32_t software_hash(std::string_view software) {
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(helpers::hash_name(software)));
}

void target_catalog::replace(std::vector<target> registrations, helpers::time_point now) {
    std::set<std::string> listed;
    for (auto& each : registrations) {
        listed.insert(each.name);
        this->update(std::move(each), now);
    }
    std::vector<std::string> missing;
    for (const auto& [name, entry] : this->by_name)
        if (!listed.contains(name))
            missing.push_back(name);
    for (const auto& name : missing)
        this->remove_unlisted(name, now);
    std::erase_if(this->held_back, [&](const auto& each) { return !listed.contains(each.first); });
    if (!std::exchange(this->has_first_list, true))
        this->complete_since = now;
}

void target_catalog::update(target registration, helpers::time_point now) {
    const auto found = this->by_name.find(registration.name);
    if (found == this->by_name.end()) {
        if (!this->is_copy_believed(now) && this->departed.contains(registration)) {
            this->hold_back(std::move(registration));
            return;
        }
        this->add(std::move(registration), now);
        this->notify();
        return;
    }
    auto& entry = *found->second;
    const bool is_same_incarnation = entry.registration.started_at == registration.started_at &&
                                     entry.registration.address == registration.address &&
                                     entry.registration.service == registration.service &&
                                     entry.registration.software == registration.software;
    if (!is_same_incarnation) {
        this->erase(registration.name, "replaced by a later incarnation", now);
        this->add(std::move(registration), now);
        this->notify();
        return;
    }
    entry.was_removed = false;
    if (std::exchange(entry.is_missing, false))
        this->update_missing_state(entry.registration.service);
    if (registration.cold_for > helpers::duration::zero())
        entry.cold_until = now + registration.cold_for + this->timing.cold_margin;
    if (entry.registration.is_draining && !registration.is_draining &&
        !this->is_copy_believed(now)) {
        this->log("target.held_back", entry, "an older entry calls it ready");
        registration.is_draining = true;
    }
    const bool began_draining = registration.is_draining && !entry.registration.is_draining;
    entry.registration = std::move(registration);
    if (began_draining)
        this->log("target.draining", entry, "its entry is marked as draining");
    this->notify();
}

void target_catalog::hold_back(target registration) {
    this->events.write(
        kernel::severity::info, "target.held_back", std::nullopt,
        {{"target", registration.name}, {"reason", std::string("its entry was removed before")}});
    this->held_back.insert_or_assign(registration.name, std::move(registration));
}

void target_catalog::add_held_back(helpers::time_point now) {
    if (this->held_back.empty() || !this->is_copy_believed(now))
        return;
    for (auto& [name, registration] : std::exchange(this->held_back, {}))
        if (!this->by_name.contains(name))
            this->add(registration, now);
    this->notify();
}

void target_catalog::add(target registration, helpers::time_point now) {
    auto entry = std::make_shared<tracked_target>();
    entry->is_leaving = this->departed.is_leaving(registration);
    if (!entry->is_leaving)
        this->departed.forget(registration);
    entry->serial = ++this->last_serial;
    entry->added_at = this->has_first_list ? now : now - assumed_initial_age;
    if (registration.cold_for > helpers::duration::zero())
        entry->cold_until = now + registration.cold_for + this->timing.cold_margin;
    entry->registration = std::move(registration);
    entry->name_hash = helpers::hash_name(entry->registration.name);
    entry->incarnation_hash = incarnation_hash_of(entry->registration);
    entry->software_hash = software_hash(entry->registration.software);
    this->by_service[entry->registration.service].list.push_back(entry);
    this->update_missing_state(entry->registration.service);
    this->log("target.added", *entry, entry->registration.is_draining ? "draining" : "ready");
    this->by_name.emplace(entry->registration.name, std::move(entry));
}

bool target_catalog::is_removal_uncertain(helpers::time_point now) const {
    return this->registry_unreachable || now < this->removals_uncertain_until;
}

bool target_catalog::mark_missing(tracked_target& entry, bool was_removed,
                                  helpers::time_point now) {
    if (entry.registration.is_draining || !this->is_removal_uncertain(now))
        return false;
    if (!entry.is_missing)
        this->log("target.missing", entry,
                  "entry removed after a registry outage; it may be registered again");
    entry.is_missing = true;
    entry.was_removed = entry.was_removed || was_removed;
    this->update_missing_state(entry.registration.service);
    return true;
}

void target_catalog::remove(const std::string& name, helpers::time_point now) {
    this->held_back.erase(name);
    const auto found = this->by_name.find(name);
    if (found == this->by_name.end() || this->mark_missing(*found->second, true, now))
        return;
    this->erase_departed(name, "its entry was removed", now);
}

void target_catalog::remove_unlisted(const std::string& name, helpers::time_point now) {
    if (!this->mark_missing(*this->by_name.at(name), false, now))
        this->erase_departed(name, "its entry is not listed any more", now);
}

void target_catalog::erase_departed(const std::string& name, std::string_view reason,
                                    helpers::time_point now) {
    const auto& entry = *this->by_name.at(name);
    this->departed.record(entry.registration, entry.is_leaving, now);
    this->erase(name, reason, now);
    this->notify();
}

void target_catalog::on_registry_regained(helpers::time_point now) {
    if (!this->registry_unreachable)
        return;
    this->registry_unreachable = false;
    // A target may have come and gone meanwhile.
    this->complete_since = now;
    this->removals_uncertain_until = now + this->timing.recovery_grace;
}

void target_catalog::on_registry_restored(helpers::time_point now) {
    std::vector<std::string> removed;
    for (const auto& [name, entry] : this->by_name)
        if (entry->was_removed)
            removed.push_back(name);
    for (const auto& name : removed)
        this->erase_departed(name, "its entry was removed", now);
    this->complete_since = now;
    this->copy_ends_at = now + this->timing.restored_copy_time;
    this->removals_uncertain_until =
        std::max(this->removals_uncertain_until, now + this->timing.recovery_grace);
}

void target_catalog::remove_expired(helpers::time_point now) {
    this->add_held_back(now);
    if (this->is_removal_uncertain(now))
        return;
    std::vector<std::string> expired;
    for (const auto& [name, entry] : this->by_name)
        if (entry->is_missing)
            expired.push_back(name);
    for (const auto& name : expired) {
        const auto& entry = *this->by_name.at(name);
        if (entry.was_removed || entry.is_leaving)
            this->departed.record(entry.registration, entry.is_leaving, now);
        this->erase(name, "not registered again after the registry recovered", now);
    }
    if (!expired.empty())
        this->notify();
}

void target_catalog::erase(const std::string& name, std::string_view reason,
                           helpers::time_point now) {
    const auto found = this->by_name.find(name);
    if (found == this->by_name.end())
        return;
    const auto entry = found->second;
    this->by_name.erase(found);
    std::erase(this->by_service[entry->registration.service].list, entry);
    this->former_software[entry->registration.service][entry->software_hash] = now;
    this->update_missing_state(entry->registration.service);
    this->log("target.removed", *entry, reason);
}

void target_catalog::set_drained_data_centres(std::set<std::string> data_centres) {
    if (data_centres == this->drained)
        return;
    for (const auto& each : data_centres)
        if (!this->drained.contains(each))
            this->events.write(kernel::severity::info, "data_centre.leaving", std::nullopt,
                               {{"data_centre", each}});
    for (const auto& each : this->drained)
        if (!data_centres.contains(each))
            this->events.write(kernel::severity::info, "data_centre.returned", std::nullopt,
                               {{"data_centre", each}});
    this->drained = std::move(data_centres);
    this->notify();
}

std::shared_ptr<tracked_target> target_catalog::find(std::uint64_t serial) const {
    const auto found =
        std::find_if(this->by_name.begin(), this->by_name.end(),
                     [serial](const auto& each) { return each.second->serial == serial; });
    return found == this->by_name.end() ? nullptr : found->second;
}

std::shared_ptr<tracked_target> target_catalog::find(std::string_view name) const {
    const auto found = this->by_name.find(std::string(name));
    return found == this->by_name.end() ? nullptr : found->second;
}

void target_catalog::mark_leaving(std::uint64_t serial) {
    const auto entry = this->find(serial);
    if (entry == nullptr || std::exchange(entry->is_leaving, true))
        return;
    this->log("target.leaving", *entry, "it said so in a response");
    this->notify();
}

std::size_t target_catalog::leaving_count() const {
    return static_cast<std::size_t>(
        std::count_if(this->by_name.begin(), this->by_name.end(),
                      [](const auto& each) { return each.second->is_leaving; }));
}

void target_catalog::remove_replaced(std::uint64_t serial, helpers::time_point now) {
    if (const auto entry = this->find(serial))
        this->erase_departed(std::string(entry->registration.name),
                             "another target responded at its address", now);
}

std::span<const std::shared_ptr<tracked_target>>
target_catalog::targets_of(helpers::service_id service) const {
    const auto found = this->by_service.find(service);
    if (found == this->by_service.end())
        return {};
    return found->second.list;
}

std::vector<std::shared_ptr<tracked_target>> target_catalog::all_targets() const {
    std::vector<std::shared_ptr<tracked_target>> result;
    result.reserve(this->by_name.size());
    for (const auto& [name, entry] : this->by_name)
        result.push_back(entry);
    return result;
}

std::optional<std::uint32_t> target_catalog::only_software(helpers::service_id service,
                                                           helpers::duration time,
                                                           helpers::time_point now) const {
    std::set<std::uint32_t> versions;
    for (const auto& each : this->targets_of(service))
        versions.insert(each->software_hash);
    if (const auto former = this->former_software.find(service);
        former != this->former_software.end())
        for (const auto& [version, removed_at] : former->second)
            if (now - removed_at < time)
                versions.insert(version);
    return versions.size() == 1 ? std::optional(*versions.begin()) : std::nullopt;
}

bool target_catalog::is_complete_for(helpers::duration time, helpers::time_point now) const {
    return this->has_first_list && !this->is_removal_uncertain(now) &&
           now - this->complete_since >= time;
}

void target_catalog::update_missing_state(helpers::service_id service) {
    auto& targets = this->by_service[service];
    const auto missing = std::count_if(targets.list.begin(), targets.list.end(),
                                       [](const auto& each) { return each->is_missing; });
    targets.is_mostly_missing = static_cast<std::size_t>(missing) * 2 > targets.list.size();
}

bool target_catalog::is_eligible(const tracked_target& entry) const {
    if (entry.is_leaving || entry.registration.is_draining ||
        this->is_drained(entry.registration.data_centre))
        return false;
    if (!entry.is_missing)
        return true;
    const auto found = this->by_service.find(entry.registration.service);
    return found != this->by_service.end() && found->second.is_mostly_missing;
}

void target_catalog::log(std::string_view event, const tracked_target& entry,
                         std::string_view reason) {
    this->events.write(kernel::severity::info, event, std::nullopt,
                       {{"target", entry.registration.name},
                        {"address", helpers::to_string(entry.registration.address)},
                        {"data_centre", entry.registration.data_centre},
                        {"software", entry.registration.software},
                        {"started_at", entry.registration.started_at},
                        {"why", std::string(reason)}});
}

void target_catalog::notify() {
    if (this->change_handler)
        this->change_handler();
}

} // namespace samphirespool::discovery
