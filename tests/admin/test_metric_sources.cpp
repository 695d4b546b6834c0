// Tests of the metrics of the transport and of the process.
#include "admin/metric_sources.hpp"

#include <doctest/doctest.h>

using namespace samphirespool;

TEST_CASE("metrics of the transport and of the process show the current values") {
    const kernel::manual_clock time;
    debug::metrics metrics(time);
    wire::transport_counters counters;
    admin::register_transport_metrics(metrics, counters);
    admin::register_process_metrics(metrics);
    counters.sent[static_cast<std::size_t>(wire::frame_kind::claims)] = {3, 400};
    counters.faults[0] = 2;
    counters.faults[1] = 5;
    const auto text = metrics.prometheus_text();
    for (const auto* line :
         {"samphirespool_peer_frames_total{direction=\"sent\",kind=\"claims\"} 3\n",
          "samphirespool_peer_bytes_total{direction=\"sent\",kind=\"claims\"} 400\n",
          "samphirespool_peer_bytes_total{direction=\"received\",kind=\"claims\"} 0\n",
          "samphirespool_peer_faults_total 7\n"})
        CHECK_MESSAGE(text.find(line) != std::string::npos, line);
    CHECK(text.find("process_resident_memory_bytes 0\n") == std::string::npos);
}
