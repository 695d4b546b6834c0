// Adopts newer versions, merges the provisional marks and retains the latest deltas.
#include "config/configuration_manager.hpp"

#include <utility>

namespace samphirespool::config {

adopt_result configuration_manager::adopt(configuration_state next) {
    if (this->has_state() && next.root.version <= this->latest.root.version) {
        // A state read from the store carries the version of the root object, which a state
        // received from a peer lacks.
        if (next.root.version == this->latest.root.version && next.object_version != 0)
            this->latest.object_version = next.object_version;
        return adopt_result::not_newer;
    }
    if (!this->has_state()) {
        this->latest = std::move(next);
        this->update_in_force();
        return adopt_result::adopted;
    }
    encoded_delta delta{this->latest.root.version, write_delta(diff_states(this->latest, next))};
    this->install(std::move(next), std::move(delta));
    return adopt_result::adopted;
}

adopt_result configuration_manager::adopt(const configuration_delta& delta) {
    if (!this->has_state())
        return adopt_result::gap;
    if (delta.to <= this->latest.root.version)
        return adopt_result::not_newer;
    auto next = apply_delta(this->latest, delta);
    if (!next)
        return adopt_result::gap;
    this->install(std::move(*next), {delta.from, write_delta(delta)});
    return adopt_result::adopted;
}

void configuration_manager::install(configuration_state next, encoded_delta delta) {
    this->latest = std::move(next);
    this->deltas.push_back(std::move(delta));
    if (this->deltas.size() > max_retained_deltas)
        this->deltas.pop_front();
    this->update_in_force();
}

bool configuration_manager::add_provisional(const provisional_mark& mark) {
    if (!this->marks.add(mark, this->latest.root))
        return false;
    if (this->has_state())
        this->update_in_force();
    return true;
}

void configuration_manager::update_in_force() {
    this->marks.remove_settled(this->latest.root);
    this->in_force = this->latest.accepted;
    if (!this->marks.empty()) {
        auto merged = std::make_shared<fleet_configuration>(*this->latest.accepted);
        this->marks.overlay(*merged);
        this->in_force = std::move(merged);
    }
    for (const auto& listener : this->listeners)
        listener();
}

std::optional<std::vector<std::string>>
configuration_manager::deltas_since(configuration_version version) const {
    std::vector<std::string> result;
    if (version == this->latest.root.version)
        return result;
    for (const auto& delta : this->deltas)
        if (delta.from >= version)
            result.push_back(delta.text);
    const auto is_complete =
        !result.empty() && this->deltas[this->deltas.size() - result.size()].from == version;
    return is_complete ? std::optional(std::move(result)) : std::nullopt;
}

const std::string* configuration_manager::latest_delta() const {
    return this->deltas.empty() ? nullptr : &this->deltas.back().text;
}

void configuration_manager::on_change(std::function<void()> listener) {
    this->listeners.push_back(std::move(listener));
}

} // namespace samphirespool::config
