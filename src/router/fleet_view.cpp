// Rebuilds the index and the strategies after a change of the configuration, the list of VMs, the
// ejected targets or a weight that grows over time.
#include "router/fleet_view.hpp"

#include <algorithm>
#include <utility>

namespace samphirespool::router {

namespace {

constexpr std::string_view default_strategy = "bounded-rendezvous";

} // namespace

fleet_view::fleet_view(kernel::loop& loop, kernel::random_source& random,
                       config::configuration_service& configuration)
    : loop(loop), random(random), configuration(configuration) {
    configuration.on_change([this] { this->refresh(); });
    this->refresh();
}

fleet_view::~fleet_view() {
    this->loop.cancel(this->update_timer);
}

void fleet_view::refresh() {
    const auto latest = this->configuration.current();
    if (latest == nullptr)
        return;
    const auto now = this->loop.time().wall();
    if (this->current == nullptr || &this->current->configuration() != latest.get())
        this->current = std::make_shared<const configuration_index>(latest);
    this->directory.set_vms(this->configuration.vms(), now);
    this->directory.set_marks(*latest, now);
    this->rebuild_strategies();
    this->schedule_next_update();
    this->notify();
}

void fleet_view::set_ejected(std::unordered_set<helpers::target_id> targets) {
    this->directory.set_ejected(std::move(targets), this->loop.time().wall());
    this->rebuild_strategies();
    this->notify();
}

void fleet_view::rebuild_strategies() {
    if (this->current == nullptr)
        return;
    const auto& registry = placement::strategy_registry::instance();
    this->strategies.clear();
    for (const auto& service : this->current->services()) {
        auto strategy = registry.make(service.definition->placement);
        if (strategy == nullptr)
            strategy = registry.make(default_strategy);
        strategy->rebuild(this->directory.targets(service.id));
        this->strategies.emplace(service.id, std::move(strategy));
    }
}

void fleet_view::notify() {
    for (const auto& listener : this->listeners)
        listener();
}

void fleet_view::schedule_next_update() {
    this->loop.cancel(std::exchange(this->update_timer, 0));
    const auto due = this->directory.next_change();
    if (!due)
        return;
    const auto delay_ms = std::max<std::int64_t>(*due - this->loop.time().wall(), 1);
    this->update_timer = this->loop.schedule(std::chrono::milliseconds(delay_ms), [this] {
        this->update_timer = 0;
        this->directory.advance(this->loop.time().wall());
        this->rebuild_strategies();
        this->schedule_next_update();
        this->notify();
    });
}

void fleet_view::rank(helpers::service_id service, const placement::placement_request& request,
                      std::vector<helpers::target_id>& candidates) {
    const auto strategy = this->strategies.find(service);
    if (strategy == this->strategies.end())
        return;
    const auto targets = this->directory.targets(service);
    this->ranked.clear();
    strategy->second->rank(request, targets, this->random, this->ranked);
    for (const auto index : this->ranked)
        candidates.push_back(targets[index].id);
}

} // namespace samphirespool::router
