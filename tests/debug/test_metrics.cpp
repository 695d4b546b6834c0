// Tests of the metrics: the text format, the limit of series per name, histogram buckets, and
// quantiles of the last minute.
#include "debug/metrics.hpp"

#include <array>
#include <cmath>
#include <doctest/doctest.h>

using namespace samphirespool;
using namespace std::chrono_literals;

namespace {

bool has_line(const std::string& text, const std::string& line) {
    return text.find("\n" + line + "\n") != std::string::npos;
}

// The value of a sample; NaN if there is none.
double sample(const std::string& text, const std::string& series) {
    const auto at = text.find("\n" + series + " ");
    return at == std::string::npos ? std::nan("") : std::stod(text.substr(at + series.size() + 2));
}

} // namespace

TEST_CASE("counters, gauges and watched values appear in the Prometheus text format") {
    const kernel::manual_clock time;
    debug::metrics metrics(time);
    auto& answered =
        metrics.make_counter({"requests_total", "Requests.\nAll."}, {{"status", "2\"0\\0\n"}});
    answered.add();
    answered.add(2);
    CHECK(&answered == &metrics.make_counter({"requests_total", ""}, {{"status", "2\"0\\0\n"}}));
    metrics.make_gauge({"queue-length", "Waiting."}).set(2.5);
    std::uint64_t counted = 7;
    metrics.watch_counter({"drops_total", "Drops."}, [&counted] { return counted; });
    metrics.watch_gauge({"load", "Load."}, [] { return 1.0 / 0.0; });
    counted = 8;
    const auto text = "\n" + metrics.prometheus_text();
    CHECK(has_line(text, "# HELP requests_total Requests.\\nAll."));
    CHECK(has_line(text, "# TYPE requests_total counter"));
    CHECK(has_line(text, "requests_total{status=\"2\\\"0\\\\0\\n\"} 3"));
    CHECK(has_line(text, "# TYPE queue_length gauge"));
    CHECK(has_line(text, "queue_length 2.5"));
    CHECK(has_line(text, "drops_total 8"));
    CHECK(has_line(text, "load +Inf"));
    CHECK(text.back() == '\n');
}

TEST_CASE("series beyond the limit share one series and are counted") {
    const kernel::manual_clock time;
    debug::metrics metrics(time);
    for (int i = 0; i < 1000; ++i)
        metrics.make_counter({"hits_total", "Hits."}, {{"organisation", std::to_string(i)}}).add();
    const auto text = "\n" + metrics.prometheus_text();
    CHECK(has_line(text, "hits_total{organisation=\"0\"} 1"));
    CHECK(has_line(text, "hits_total{organisation=\"other\"} 872"));
    CHECK(has_line(text, "samphirespool_metrics_series_overflow_total 872"));
    CHECK(text.size() < 10'000);
}

TEST_CASE("a name used for two kinds keeps the first kind and does not crash") {
    const kernel::manual_clock time;
    debug::metrics metrics(time);
    metrics.make_counter({"twice", "First."}).add(5);
    metrics.make_gauge({"twice", "Second."}).set(9);
    CHECK(has_line("\n" + metrics.prometheus_text(), "twice 5"));
}

TEST_CASE("a histogram counts each value in every bucket whose upper bound is not below it") {
    const kernel::manual_clock time;
    debug::metrics metrics(time);
    constexpr std::array<double, 2> bounds{0.1, 1};
    auto& seconds = metrics.make_histogram({"seconds", "Time."}, bounds, {{"way", "in"}});
    for (const double value : {0.05, 0.1, 0.5, 20.0})
        seconds.record(value);
    const auto text = "\n" + metrics.prometheus_text();
    CHECK(has_line(text, "seconds_bucket{way=\"in\",le=\"0.1\"} 2"));
    CHECK(has_line(text, "seconds_bucket{way=\"in\",le=\"1\"} 3"));
    CHECK(has_line(text, "seconds_bucket{way=\"in\",le=\"+Inf\"} 4"));
    CHECK(has_line(text, "seconds_count{way=\"in\"} 4"));
    CHECK(sample(text, "seconds_sum{way=\"in\"}") == doctest::Approx(20.65));
}

TEST_CASE("a summary reports quantiles of the last minute and totals since the start") {
    kernel::manual_clock time;
    debug::metrics metrics(time);
    auto& wait = metrics.make_summary({"wait", "Wait."});
    const std::string median = "wait{quantile=\"0.5\"}";
    wait.record(1);
    CHECK(std::isnan(sample("\n" + metrics.prometheus_text(), median)));
    for (int i = 1; i <= 1000; ++i)
        wait.record((i * 617) % 1000);
    auto text = "\n" + metrics.prometheus_text();
    CHECK(sample(text, median) == doctest::Approx(500).epsilon(0.05));
    CHECK(sample(text, "wait{quantile=\"0.99\"}") == doctest::Approx(990).epsilon(0.02));
    CHECK(sample(text, "wait{quantile=\"1\"}") == 999);
    time.advance(61s);
    for (int i = 0; i < 100; ++i)
        wait.record(7);
    CHECK(sample("\n" + metrics.prometheus_text(), median) == doctest::Approx(500).epsilon(0.05));
    time.advance(61s);
    wait.record(7);
    CHECK(sample("\n" + metrics.prometheus_text(), median) == 7);
    time.advance(5min);
    text = "\n" + metrics.prometheus_text();
    CHECK(std::isnan(sample(text, median)));
    CHECK(has_line(text, "wait_count 1102"));
}
