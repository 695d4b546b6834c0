// Constructs the services of a standalone router.
#include "router/standalone_router.hpp"

#include "settings/machine_memory.hpp"

namespace samphirespool::router {

standalone_router::standalone_router(http::event_loop& loop,
                                     const settings::router_settings& settings,
                                     config::configuration_service& configuration,
                                     kernel::event_sink& events)
    : random(seed_of(settings)),
      targets(loop, {}),
      fleet(loop, this->random, configuration),
      reservations(loop, this->fleet, settings.max_queued_requests),
      claims(loop.time()),
      memory(settings::memory_limit_mb(settings.memory_limit_mb), loop.time()),
      path(loop, settings, make_identity(settings, loop.time()), this->fleet, this->reservations,
           this->claims, this->targets, events, this->memory),
      limit_owner(loop, this->fleet, this->path.queue()) {}

} // namespace samphirespool::router
