// Wires the managers of one router together.
#include "router/router.hpp"

#include <random>

namespace samphirespool::router {

namespace {

// An organisation may fill this part of the queue.
constexpr std::size_t queue_part = 4;

std::uint64_t seed_of(const settings::router_settings& settings) {
    return settings.seed != 0 ? settings.seed : std::random_device{}();
}

} // namespace

router::router(http::event_loop& loop, const settings::router_settings& settings,
               config::configuration_service& configuration, kernel::event_sink& events)
    : loop(loop),
      settings(settings),
      random(seed_of(settings)),
      fleet(loop, this->random, configuration),
      reservations(loop, this->fleet, settings.max_queued_requests),
      claims(loop.time()),
      turns(loop, this->fleet, helpers::id_of<helpers::router_id>(settings.name),
            {settings.max_queued_requests, settings.max_queued_requests / queue_part}),
      limit_owner(loop, this->fleet, this->turns),
      health(loop, this->fleet, events),
      targets(loop, {}),
      callers(loop, settings, this->make_context(events)) {
    this->fleet.on_change([this] { this->apply_preset(); });
    this->apply_preset();
}

void router::apply_preset() {
    if (const auto index = this->fleet.index())
        this->retries.set_share(index->configuration().preset().retry_share);
}

request_context router::make_context(kernel::event_sink& events) {
    const router_identity self{
        helpers::id_of<helpers::router_id>(this->settings.name),
        helpers::incarnation{static_cast<std::uint64_t>(this->loop.time().wall())},
        helpers::id_of<helpers::data_centre_id>(this->settings.data_centre),
        helpers::id_of<helpers::region_id>(this->settings.region)};
    request_limits limits;
    limits.max_deadline = this->settings.max_deadline;
    limits.max_live_requests = this->settings.max_queued_requests;
    return {this->loop,    this->fleet,   this->reservations,
            this->claims,  this->turns,   this->health,
            this->retries, this->targets, events,
            self,          limits,        {}};
}

} // namespace samphirespool::router
