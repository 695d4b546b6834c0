// Puts counters that other parts keep on the metrics page. The counters must outlive the metrics.
#pragma once

#include "debug/metrics.hpp"
#include "wire/transport_context.hpp"

namespace samphirespool::admin {

// Frames and bytes between routers by kind and direction, faults of frames, drops, connections:
// samphirespool_peer_{frames,bytes,faults,dropped,connects,accepts}_total.
void watch_transport(debug::metrics& metrics, const wire::transport_counters& counters);

// process_cpu_seconds_total and process_resident_memory_bytes of this process.
void watch_process(debug::metrics& metrics);

} // namespace samphirespool::admin
