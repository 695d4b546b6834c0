// Measures the cost of writing a log event, recording a metric, and rendering the metrics page and
// the time line. Prints JSON lines.
#include "debug/json_log.hpp"
#include "debug/metrics.hpp"
#include "debug/timeline.hpp"

#include <array>
#include <iostream>

namespace {

using namespace samphirespool;

constexpr int events = 200'000;
constexpr int records = 2'000'000;
constexpr int timeline_lines = 50'000;

void print(std::string_view figure, double value, std::string_view unit) {
    std::cout << R"({"bench":"observability","figure":")" << figure << R"(","value":)" << value
              << R"(,"unit":")" << unit << R"(","baseline":null})" << std::endl;
}

// Returns the mean nanoseconds per run over `count` runs.
template <class Work>
double measure(const kernel::clock& time, int count, Work work) {
    const auto start = time.now();
    for (int i = 0; i < count; ++i)
        work(i);
    return static_cast<double>((time.now() - start).count()) / count;
}

void measure_log(const kernel::clock& time) {
    kernel::hybrid_clock order(time);
    kernel::error reason;
    const auto log = debug::json_log::open({"bench", "/dev/null"}, order, time, reason);
    const helpers::request_id request{{1}, {2}, 3};
    print("event_written",
          measure(time, events,
                  [&](int i) {
                      log->write(
                          kernel::severity::info, "request.sent", request,
                          {{"target", std::string("engine-17")}, {"attempt", std::int64_t{i}}});
                  }),
          "ns");
    print("event_below_level",
          measure(time, events,
                  [&](int i) {
                      log->write(kernel::severity::debug, "request.sent", request,
                                 {{"attempt", std::int64_t{i}}});
                  }),
          "ns");
}

void measure_metrics(const kernel::clock& time) {
    debug::metrics metrics(time);
    constexpr std::array<double, 8> bounds{0.001, 0.01, 0.05, 0.1, 0.5, 1, 5, 10};
    auto& histogram = metrics.make_histogram({"bench_seconds", "Seconds."}, bounds);
    auto& summary = metrics.make_summary({"bench_quantiles", "Seconds."});
    print("histogram_record",
          measure(time, records, [&](int i) { histogram.record(i % 100 * 0.01); }), "ns");
    print("summary_record", measure(time, records, [&](int i) { summary.record(i % 1000); }), "ns");
    print("page_written", measure(time, 1000, [&](int) { metrics.prometheus_text(); }), "ns");
}

void measure_timeline(const kernel::clock& time) {
    std::string log;
    for (int i = 0; i < timeline_lines; ++i)
        log += R"({"wall":1,"hybrid":)" + std::to_string(i) +
               R"(,"logical":0,"level":"info","process":"r1","event":"request.sent",)"
               R"("request":"1-2-3","fields":{"target":"engine-17"}})"
               "\n";
    const std::array<debug::log_text, 1> logs{{{"bench.log", log}}};
    const auto total =
        measure(time, 1, [&](int) { debug::timeline_html(debug::merge_logs(logs)); });
    print("timeline_line", total / timeline_lines, "ns");
}

} // namespace

int main() {
    const kernel::system_clock time;
    measure_log(time);
    measure_metrics(time);
    measure_timeline(time);
    return 0;
}
