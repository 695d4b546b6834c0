// Passes results to the outlier detectors, and the ejected targets to the fleet view.
#include "router/target_health.hpp"

namespace samphirespool::router {

namespace {

// How often ejections are checked for their end.
constexpr auto check_interval = std::chrono::seconds(1);

} // namespace

target_health::target_health(kernel::loop& loop, fleet_view& fleet, kernel::event_sink& events)
    : loop(loop), fleet(fleet), events(events) {
    fleet.on_change([this] { this->update_targets(); });
    this->update_targets();
    this->tick();
}

target_health::~target_health() {
    this->loop.cancel(this->timer);
}

void target_health::update_targets() {
    const auto index = this->fleet.index();
    if (index == nullptr)
        return;
    for (const auto& service : index->services()) {
        std::vector<helpers::target_id> target_ids;
        for (const auto& view : this->fleet.targets(service.id))
            target_ids.push_back(view.id);
        this->detectors[service.id].set_targets(target_ids);
    }
}

void target_health::record(helpers::service_id service, helpers::target_id target, bool failed) {
    if (!this->detectors[service].record(target, failed, this->loop.time().now()))
        return;
    this->events.write(kernel::severity::warning, "target.ejected", std::nullopt,
                       {{"target", target.value}});
    // Deferred, because the change may grant reservations of other requests and run their
    // callbacks.
    this->loop.post([this] { this->apply_ejections(); });
}

void target_health::apply_ejections() {
    std::unordered_set<helpers::target_id> ejected;
    for (const auto& [service, detector] : this->detectors)
        ejected.insert(detector.ejected().begin(), detector.ejected().end());
    this->fleet.set_ejected(std::move(ejected));
}

void target_health::tick() {
    const auto now = this->loop.time().now();
    bool changed = false;
    for (auto& [service, detector] : this->detectors)
        changed = detector.advance(now) || changed;
    if (changed)
        this->apply_ejections();
    this->timer = this->loop.schedule(check_interval, [this] { this->tick(); });
}

} // namespace samphirespool::router
