// Applies what the registry says of targets.
#include "discovery/target_catalog.hpp"

#include <algorithm>
#include <utility>

namespace samphirespool::discovery {

namespace {

// Of targets that were there before this process.
constexpr helpers::duration assumed_age = std::chrono::hours(1);

std::uint32_t life_hash_of(const target& facts) {
    return static_cast<std::uint32_t>(
        helpers::hash_name(facts.name + "@" + std::to_string(facts.started_at)));
}

} // namespace

void target_catalog::replace(std::vector<target> all, helpers::time_point now) {
    std::set<std::string> listed;
    for (auto& each : all) {
        listed.insert(each.name);
        this->update(std::move(each), now);
    }
    std::vector<std::string> missing;
    for (const auto& [name, known] : this->by_name)
        if (!listed.contains(name))
            missing.push_back(name);
    for (const auto& name : missing)
        this->remove(name, now);
    this->has_first_list = true;
}

void target_catalog::update(target changed, helpers::time_point now) {
    const auto found = this->by_name.find(changed.name);
    if (found == this->by_name.end()) {
        this->add(std::move(changed), now);
        this->tell();
        return;
    }
    auto& known = *found->second;
    const bool is_same_life = known.facts.started_at == changed.started_at &&
                              known.facts.address == changed.address &&
                              known.facts.service == changed.service;
    if (!is_same_life) {
        this->erase(changed.name, "a later life took its name");
        this->add(std::move(changed), now);
        this->tell();
        return;
    }
    if (std::exchange(known.is_missing, false))
        this->count_missing(known.facts.service);
    if (changed.cold_for > helpers::duration::zero())
        known.cold_until = now + changed.cold_for + this->timing.cold_margin;
    const bool began_draining = changed.is_draining && !known.facts.is_draining;
    known.facts = std::move(changed);
    if (began_draining)
        this->log("target.draining", known, "its entry says so");
    this->tell();
}

void target_catalog::add(target facts, helpers::time_point now) {
    auto known = std::make_shared<known_target>();
    known->serial = ++this->last_serial;
    known->added_at = this->has_first_list ? now : now - assumed_age;
    if (facts.cold_for > helpers::duration::zero())
        known->cold_until = now + facts.cold_for + this->timing.cold_margin;
    known->facts = std::move(facts);
    known->name_hash = helpers::hash_name(known->facts.name);
    known->life_hash = life_hash_of(known->facts);
    this->by_service[known->facts.service].list.push_back(known);
    this->count_missing(known->facts.service);
    this->log("target.added", *known, known->facts.is_draining ? "draining" : "ready");
    this->by_name.emplace(known->facts.name, std::move(known));
}

bool target_catalog::removal_is_uncertain(helpers::time_point now) const {
    return this->registry_away || now < this->uncertain_until;
}

void target_catalog::remove(const std::string& name, helpers::time_point now) {
    const auto found = this->by_name.find(name);
    if (found == this->by_name.end())
        return;
    if (!found->second->facts.is_draining && this->removal_is_uncertain(now)) {
        if (!found->second->is_missing)
            this->log("target.missing", *found->second, "the registry was away; it may return");
        found->second->is_missing = true;
        this->count_missing(found->second->facts.service);
        return;
    }
    this->erase(name, "its entry was removed");
    this->tell();
}

void target_catalog::registry_regained(helpers::time_point now) {
    if (!this->registry_away)
        return;
    this->registry_away = false;
    this->uncertain_until = now + this->timing.return_after_outage;
}

void target_catalog::settle(helpers::time_point now) {
    if (this->removal_is_uncertain(now))
        return;
    std::vector<std::string> gone;
    for (const auto& [name, known] : this->by_name)
        if (known->is_missing)
            gone.push_back(name);
    for (const auto& name : gone)
        this->erase(name, "it did not return after the registry did");
    if (!gone.empty())
        this->tell();
}

void target_catalog::erase(const std::string& name, std::string_view why) {
    const auto found = this->by_name.find(name);
    if (found == this->by_name.end())
        return;
    const auto known = found->second;
    this->by_name.erase(found);
    std::erase(this->by_service[known->facts.service].list, known);
    this->count_missing(known->facts.service);
    this->log("target.removed", *known, why);
}

void target_catalog::set_departed(std::set<std::string> data_centres) {
    if (data_centres == this->departed)
        return;
    for (const auto& each : data_centres)
        if (!this->departed.contains(each))
            this->events.write(kernel::severity::info, "data_centre.leaving", std::nullopt,
                               {{"data_centre", each}});
    for (const auto& each : this->departed)
        if (!data_centres.contains(each))
            this->events.write(kernel::severity::info, "data_centre.returned", std::nullopt,
                               {{"data_centre", each}});
    this->departed = std::move(data_centres);
    this->tell();
}

void target_catalog::note_replaced(std::uint64_t serial) {
    for (const auto& [name, known] : this->by_name) {
        if (known->serial != serial)
            continue;
        this->erase(std::string(name), "another target answered at its address");
        this->tell();
        return;
    }
}

std::span<const std::shared_ptr<known_target>>
target_catalog::targets_of(helpers::service_id service) const {
    const auto found = this->by_service.find(service);
    if (found == this->by_service.end())
        return {};
    return found->second.list;
}

std::vector<std::shared_ptr<known_target>> target_catalog::all() const {
    std::vector<std::shared_ptr<known_target>> result;
    result.reserve(this->by_name.size());
    for (const auto& [name, known] : this->by_name)
        result.push_back(known);
    return result;
}

void target_catalog::count_missing(helpers::service_id service) {
    auto& targets = this->by_service[service];
    const auto missing = std::count_if(targets.list.begin(), targets.list.end(),
                                       [](const auto& each) { return each->is_missing; });
    targets.is_mostly_missing = static_cast<std::size_t>(missing) * 2 > targets.list.size();
}

bool target_catalog::may_get_work(const known_target& which) const {
    if (which.facts.is_draining || this->is_departed(which.facts.data_centre))
        return false;
    if (!which.is_missing)
        return true;
    const auto found = this->by_service.find(which.facts.service);
    return found != this->by_service.end() && found->second.is_mostly_missing;
}

void target_catalog::log(std::string_view what, const known_target& which, std::string_view why) {
    this->events.write(kernel::severity::info, what, std::nullopt,
                       {{"target", which.facts.name},
                        {"address", helpers::to_string(which.facts.address)},
                        {"data_centre", which.facts.data_centre},
                        {"started_at", which.facts.started_at},
                        {"why", std::string(why)}});
}

void target_catalog::tell() {
    if (this->changed)
        this->changed();
}

} // namespace samphirespool::discovery
