// Adopts versions upwards only.
#include "config/configuration_manager.hpp"

#include <utility>

namespace samphirespool::config {

adoption configuration_manager::adopt(configuration_state next) {
    if (this->has_state() && next.root.version <= this->latest.root.version) {
        // The same version read from the store tells the root object's version.
        if (next.root.version == this->latest.root.version && next.object_version != 0)
            this->latest.object_version = next.object_version;
        return adoption::not_newer;
    }
    if (!this->has_state()) {
        this->latest = std::move(next);
        this->refresh();
        return adoption::adopted;
    }
    kept_delta delta{this->latest.root.version, write_delta(diff_states(this->latest, next))};
    this->take(std::move(next), std::move(delta));
    return adoption::adopted;
}

adoption configuration_manager::adopt(const configuration_delta& delta) {
    if (!this->has_state())
        return adoption::gap;
    if (delta.to <= this->latest.root.version)
        return adoption::not_newer;
    auto next = apply_delta(this->latest, delta);
    if (!next)
        return adoption::gap;
    this->take(std::move(*next), {delta.from, write_delta(delta)});
    return adoption::adopted;
}

void configuration_manager::take(configuration_state next, kept_delta delta) {
    this->latest = std::move(next);
    this->deltas.push_back(std::move(delta));
    if (this->deltas.size() > max_kept_deltas)
        this->deltas.pop_front();
    this->refresh();
}

bool configuration_manager::add_provisional(const provisional_mark& mark) {
    if (!this->marks.add(mark, this->latest.root))
        return false;
    if (this->has_state())
        this->refresh();
    return true;
}

void configuration_manager::refresh() {
    this->marks.drop_settled(this->latest.root);
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
    for (const auto& each : this->deltas)
        if (each.from >= version)
            result.push_back(each.text);
    const auto is_kept =
        !result.empty() && this->deltas[this->deltas.size() - result.size()].from == version;
    return is_kept ? std::optional(std::move(result)) : std::nullopt;
}

const std::string* configuration_manager::latest_delta() const {
    return this->deltas.empty() ? nullptr : &this->deltas.back().text;
}

void configuration_manager::on_change(std::function<void()> listener) {
    this->listeners.push_back(std::move(listener));
}

} // namespace samphirespool::config
