// Maps the counters to the names of their metrics.
#include "admin/metric_sources.hpp"

#include <array>
#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

namespace samphirespool::admin {

namespace {

using kind_array = std::array<wire::kind_counters, wire::frame_kind_count>;

constexpr std::array<std::string_view, 6> kind_names{"greeting",      "membership", "shares",
                                                     "configuration", "claims",     "limits"};

void register_kinds(debug::metrics& metrics, const kind_array& kinds,
                    const std::string& direction) {
    for (std::size_t i = 0; i < kind_names.size(); ++i) {
        const auto* kind = &kinds.at(i);
        const debug::label_list labels{{"direction", direction},
                                       {"kind", std::string(kind_names.at(i))}};
        metrics.watch_counter(
            {"samphirespool_peer_frames_total", "Frames between routers."},
            [kind] { return kind->frames; }, labels);
        metrics.watch_counter(
            {"samphirespool_peer_bytes_total", "Bytes of frames between routers, with headers."},
            [kind] { return kind->bytes; }, labels);
    }
}

double to_seconds(const timeval& time) {
    constexpr double seconds_per_microsecond = 1e-6;
    return static_cast<double>(time.tv_sec) +
           static_cast<double>(time.tv_usec) * seconds_per_microsecond;
}

double cpu_seconds() {
    rusage used{};
    getrusage(RUSAGE_SELF, &used);
    return to_seconds(used.ru_utime) + to_seconds(used.ru_stime);
}

double resident_bytes() {
    std::ifstream file("/proc/self/statm");
    double total_pages = 0;
    double resident_pages = 0;
    file >> total_pages >> resident_pages;
    return resident_pages * static_cast<double>(sysconf(_SC_PAGESIZE));
}

} // namespace

void register_transport_metrics(debug::metrics& metrics, const wire::transport_counters& counters) {
    register_kinds(metrics, counters.sent, "sent");
    register_kinds(metrics, counters.received, "received");
    const auto* source = &counters;
    metrics.watch_counter({"samphirespool_peer_faults_total", "Frames rejected as malformed."},
                          [source] {
                              std::uint64_t sum = 0;
                              for (const auto count : source->faults)
                                  sum += count;
                              return sum;
                          });
    metrics.watch_counter({"samphirespool_peer_dropped_total", "Payloads dropped before sending."},
                          [source] { return source->dropped; });
    metrics.watch_counter({"samphirespool_peer_connects_total", "Connections opened to routers."},
                          [source] { return source->connects; });
    metrics.watch_counter(
        {"samphirespool_peer_accepts_total", "Connections accepted from routers."},
        [source] { return source->accepts; });
    metrics.watch_counter(
        {"samphirespool_peer_replaced_total",
         "Accepted connections that were closed for others before their peers were known."},
        [source] { return source->replaced; });
}

void register_process_metrics(debug::metrics& metrics) {
    metrics.watch_gauge({"process_cpu_seconds_total", "Processor time used."}, cpu_seconds);
    metrics.watch_gauge({"process_resident_memory_bytes", "Resident memory."}, resident_bytes);
}

} // namespace samphirespool::admin
