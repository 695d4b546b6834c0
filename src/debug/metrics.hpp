// Metrics of a process: counters, gauges, histograms and quantiles, written in the Prometheus text
// format. A component keeps the handle that it got and never looks a series up again.
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

// Names are [a-z][a-z0-9_]*; other characters become underscores. Every metric with the same name
// has the same help text and kind; the first one's stand.
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

class histogram {
public:
    virtual ~histogram() = default;
    virtual void record(double value) = 0;
};

// Quantiles of the last complete minute (the running one until then), by the P2 algorithm; the sum
// and the count are those of the process's life.
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

    // Each returns the same object for the same name and labels. The handles live as long as this.
    counter& make_counter(const metric_name& name, label_list labels = {});
    gauge& make_gauge(const metric_name& name, label_list labels = {});
    // bounds are upper ones, ascending; the last one, infinity, is added.
    histogram& make_histogram(const metric_name& name, std::span<const double> bounds,
                              label_list labels = {});
    summary& make_summary(const metric_name& name, label_list labels = {});

    // Values that another component counts itself; read when the text is written.
    void watch_counter(const metric_name& name, std::function<std::uint64_t()> read,
                       label_list labels = {});
    void watch_gauge(const metric_name& name, std::function<double()> read, label_list labels = {});

    std::string prometheus_text() const;

    // A name's further series share one with the value "other" for every label, so that what
    // callers send cannot grow the page. How often that happened is a metric of its own.
    static constexpr std::size_t max_series_per_name = 128;

private:
    class implementation;

    std::unique_ptr<implementation> body;
};

} // namespace samphirespool::debug
