// Counters of other parts on the metrics page.
#include "admin/metric_sources.hpp"

#include <doctest/doctest.h>

using namespace samphirespool;

TEST_CASE("the transport's counters and the process's use appear and follow their sources") {
    const kernel::manual_clock time;
    debug::metrics metrics(time);
    wire::transport_counters counters;
    admin::watch_transport(metrics, counters);
    admin::watch_process(metrics);
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
