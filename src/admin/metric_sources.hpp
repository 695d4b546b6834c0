// Registers counters of the transport and of the process as metrics. The counters must outlive the
// metrics.
#pragma once

#include "debug/metrics.hpp"
#include "wire/transport_context.hpp"

namespace samphirespool::admin {

// Frames and bytes between routers by kind and direction, rejected frames, drops and connections:
// samphirespool_peer_{frames,bytes,faults,dropped,connects,accepts}_total.
void register_transport_metrics(debug::metrics& metrics, const wire::transport_counters& counters);

// process_cpu_seconds_total and process_resident_memory_bytes of this process.
void register_process_metrics(debug::metrics& metrics);

} // namespace samphirespool::admin
