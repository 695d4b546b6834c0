// Constructs the services that all requests of a router share.
#include "router/request_path.hpp"

namespace samphirespool::router {

namespace {

// One organisation may fill at most one in this many places of the queue.
constexpr std::size_t organisation_queue_divisor = 4;

request_limits limits_of(const settings::router_settings& settings) {
    request_limits limits;
    limits.max_deadline = settings.max_deadline;
    limits.max_requests_in_progress = settings.max_queued_requests;
    return limits;
}

} // namespace

request_path::request_path(http::event_loop& loop, const settings::router_settings& settings,
                           const router_identity& self, fleet_view& fleet,
                           admission::reservation_service& reservations,
                           claims::claim_service& claims, http::client& targets,
                           kernel::event_sink& events, http::caller_memory& memory)
    : fleet(fleet),
      requests(loop, fleet, self.id,
               {settings.max_queued_requests,
                settings.max_queued_requests / organisation_queue_divisor}),
      health(loop, fleet, events),
      caller_side(loop, settings,
                  request_context{loop,
                                  fleet,
                                  reservations,
                                  claims,
                                  this->requests,
                                  this->health,
                                  this->retries,
                                  targets,
                                  events,
                                  self,
                                  limits_of(settings),
                                  {}},
                  memory) {
    fleet.on_change([this] { this->apply_preset(); });
    this->apply_preset();
}

void request_path::apply_preset() {
    if (const auto index = this->fleet.index())
        this->retries.set_share(index->configuration().preset().retry_share);
}

} // namespace samphirespool::router
