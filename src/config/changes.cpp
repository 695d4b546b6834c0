// A visitor applies each kind of change to a copy, which is then validated as a whole.
#include "config/changes.hpp"

#include "config/checks.hpp"

#include <utility>

namespace samphirespool::config {

namespace {

// Marks in state `returning` that are older than this have no effect any more and are removed.
constexpr helpers::wall_milliseconds returning_mark_retention_ms = 7LL * 24 * 3600 * 1000;

void remove_expired_marks(std::map<std::string, mark, std::less<>>& marks,
                          helpers::wall_milliseconds now) {
    std::erase_if(marks, [now](const auto& entry) {
        return entry.second.state == mark_state::returning &&
               entry.second.since + returning_mark_retention_ms < now;
    });
}

class change_applier {
public:
    change_applier(fleet_configuration& configuration, std::vector<kernel::error>& faults,
                   helpers::wall_milliseconds now)
        : configuration(configuration), faults(faults), now(now) {}

    void operator()(const use_preset& body) const {
        this->configuration.preset_in_force = body.name;
    }

    void operator()(const mark_data_centre& body) const {
        this->set_mark(this->configuration.data_centre_marks, body.name, body.state);
    }

    void operator()(const mark_vm& body) const {
        this->set_mark(this->configuration.vm_marks, body.name, body.state);
    }

    void operator()(const put_organisation& body) const {
        this->configuration.organisations.insert_or_assign(body.definition.name, body.definition);
    }

    void operator()(const remove_organisation& body) const {
        if (this->configuration.organisations.erase(body.name) == 0)
            this->faults.push_back(
                {kernel::error_kind::not_found, "organisations." + body.name + ": does not exist"});
    }

    void operator()(const put_service& body) const {
        this->configuration.services.insert_or_assign(body.definition.name, body.definition);
    }

    void operator()(const put_preset& body) const {
        this->configuration.presets.insert_or_assign(body.definition.name, body.definition);
    }

    void operator()(const replace_all& body) const {
        auto& target = this->configuration;
        target.services = body.replacement.services;
        target.organisations = body.replacement.organisations;
        target.presets = body.replacement.presets;
        target.preset_in_force = body.replacement.preset_in_force;
    }

private:
    void set_mark(std::map<std::string, mark, std::less<>>& marks, const std::string& name,
                  mark_state state) const {
        remove_expired_marks(marks, this->now);
        const auto [it, added] = marks.try_emplace(name);
        // Setting the same mark again keeps its time, so that a gradual return does not restart.
        if (added || it->second.state != state)
            it->second = {state, this->now};
    }

    fleet_configuration& configuration;
    std::vector<kernel::error>& faults;
    helpers::wall_milliseconds now;
};

} // namespace

apply_result apply(const fleet_configuration& before, const change_body& body,
                   helpers::wall_milliseconds now) {
    apply_result result;
    auto changed = before;
    std::visit(change_applier(changed, result.faults, now), body);
    auto faults = check(changed);
    std::move(faults.begin(), faults.end(), std::back_inserter(result.faults));
    if (result.faults.empty())
        result.changed = std::move(changed);
    return result;
}

} // namespace samphirespool::config
