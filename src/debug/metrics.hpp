// Metrics of a process: counters, gauges, histograms and summaries, written in the Prometheus text
// format. A component keeps the reference that make_*() returns and does not look the series up
// again.
#pragma once

#include "kernel/clock.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace samphirespool::debug {

struct label {
    std::string name;
    std::string value;

    friend auto operator<=>(const label&, const label&) = default;
};

using label_list = std::vector<label>;

// Names have the form [a-z][a-z0-9_]*; characters other than letters and digits are replaced by
// underscores. All series of a name share the help text and kind of the first one created.
struct metric_name {
    std::string name;
    std::string help;
};

class counter {
public:
    void add(std::uint64_t count = 1) { this->total += count; }
    std::uint64_t value() const { return this->total; }

private:
    // Invariant: never decreases.
    std::uint64_t total = 0;
};

class gauge {
public:
    void set(double value) { this->current = value; }
    double value() const { return this->current; }

private:
    double current = 0;
};

// Counts values in buckets, and their sum.
class histogram {
public:
    virtual ~histogram() = default;
    virtual void record(double value) = 0;
};

// Quantiles of the last complete minute (of the current minute until the first one is complete),
// estimated by the P2 algorithm; sum and count cover the time since the process started.
class summary {
public:
    virtual ~summary() = default;
    virtual void record(double value) = 0;
};

class metrics {
public:
    explicit metrics(const kernel::clock& time);
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    // Each make_*() returns the same object for the same name and labels. The references are valid
    // as long as this object exists.
    counter& make_counter(const metric_name& name, label_list labels = {});
    gauge& make_gauge(const metric_name& name, label_list labels = {});
    // bounds are the upper bounds of the buckets in ascending order; +Inf is added as the last one.
    histogram& make_histogram(const metric_name& name, std::span<const double> bounds,
                              label_list labels = {});
    summary& make_summary(const metric_name& name, label_list labels = {});

    // Registers a value that another component maintains; read is called each time the text is
    // written.
    void watch_counter(const metric_name& name, std::function<std::uint64_t()> read,
                       label_list labels = {});
    void watch_gauge(const metric_name& name, std::function<double()> read, label_list labels = {});

    // All metrics in the Prometheus text format.
    std::string prometheus_text() const;

    // Further series of a name share one series with the value "other" for every label, so that
    // label values from callers cannot grow the text without bound. The metric
    // samphirespool_metrics_series_overflow_total counts how often that happened.
    static constexpr std::size_t max_series_per_name = 128;

private:
    class implementation;

    std::unique_ptr<implementation> impl;
};

} // namespace samphirespool::debug
