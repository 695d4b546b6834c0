// Implementation of the metrics with Boost.Accumulators, which no other file includes.
#include "debug/metrics.hpp"

#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cctype>
#include <charconv>
#include <cmath>
#include <limits>
#include <map>
#include <optional>

namespace samphirespool::debug {

namespace {

namespace stat = boost::accumulators;

constexpr auto summary_window = std::chrono::minutes(1);
constexpr std::array<double, 3> summary_quantiles{0.5, 0.95, 0.99};
// The P2 algorithm has no valid estimate until each of its markers has received a sample.
constexpr std::size_t min_quantile_samples = 2 * summary_quantiles.size() + 3;

using total_accumulator =
    stat::accumulator_set<double, stat::stats<stat::tag::count, stat::tag::sum>>;
using quantile_accumulator = stat::accumulator_set<
    double, stat::stats<stat::tag::count, stat::tag::max, stat::tag::extended_p_square>>;

std::string format_number(double value) {
    if (std::isnan(value))
        return "NaN";
    if (std::isinf(value))
        return value > 0 ? "+Inf" : "-Inf";
    std::array<char, 32> buffer;
    const auto [end, error] = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    return {buffer.data(), end};
}

std::string sanitize_name(std::string_view name) {
    std::string result(name);
    for (auto& character : result)
        if (std::isalnum(static_cast<unsigned char>(character)) == 0)
            character = '_';
    return result;
}

std::string escape(std::string_view text, bool with_quotes) {
    std::string result;
    for (const char character : text) {
        if (character == '\n') {
            result.append("\\n");
            continue;
        }
        if (character == '\\' || (with_quotes && character == '"'))
            result.push_back('\\');
        result.push_back(character);
    }
    return result;
}

// Labels in the Prometheus text format, without braces.
std::string label_text(const label_list& labels) {
    std::string result;
    for (const auto& [name, value] : labels) {
        if (!result.empty())
            result.push_back(',');
        result.append(sanitize_name(name) + "=\"" + escape(value, true) + "\"");
    }
    return result;
}

void append_sample(std::string& out, std::string_view name, std::string_view labels,
                   std::string_view value) {
    out.append(name);
    if (!labels.empty())
        out.append("{").append(labels).append("}");
    out.append(" ").append(value).append("\n");
}

std::string join(std::string_view labels, const std::string& more) {
    return labels.empty() ? more : std::string(labels) + "," + more;
}

// One time series: a metric name with one set of label values.
class series {
public:
    virtual ~series() = default;
    virtual void append(std::string& out, const std::string& name,
                        const std::string& labels) const = 0;
};

class counter_series final : public series {
public:
    void append(std::string& out, const std::string& name,
                const std::string& labels) const override {
        append_sample(out, name, labels, std::to_string(this->value.value()));
    }

    counter value;
};

class gauge_series final : public series {
public:
    void append(std::string& out, const std::string& name,
                const std::string& labels) const override {
        append_sample(out, name, labels, format_number(this->value.value()));
    }

    gauge value;
};

class watched_counter_series final : public series {
public:
    explicit watched_counter_series(std::function<std::uint64_t()> read) : read(std::move(read)) {}

    void append(std::string& out, const std::string& name,
                const std::string& labels) const override {
        append_sample(out, name, labels, std::to_string(this->read()));
    }

private:
    std::function<std::uint64_t()> read;
};

class watched_gauge_series final : public series {
public:
    explicit watched_gauge_series(std::function<double()> read) : read(std::move(read)) {}

    void append(std::string& out, const std::string& name,
                const std::string& labels) const override {
        append_sample(out, name, labels, format_number(this->read()));
    }

private:
    std::function<double()> read;
};

void append_totals(std::string& out, const std::string& name, const std::string& labels,
                   const total_accumulator& totals) {
    append_sample(out, name + "_sum", labels, format_number(stat::sum(totals)));
    append_sample(out, name + "_count", labels, std::to_string(stat::count(totals)));
}

class histogram_series final : public series, public histogram {
public:
    explicit histogram_series(std::span<const double> bounds)
        : bounds(bounds.begin(), bounds.end()), counts(bounds.size()) {}

    void record(double value) override {
        this->totals(value);
        const auto bucket = std::lower_bound(this->bounds.begin(), this->bounds.end(), value);
        if (bucket != this->bounds.end())
            ++this->counts[static_cast<std::size_t>(bucket - this->bounds.begin())];
    }

    void append(std::string& out, const std::string& name,
                const std::string& labels) const override {
        std::uint64_t cumulative = 0;
        for (std::size_t i = 0; i < this->bounds.size(); ++i) {
            cumulative += this->counts[i];
            append_sample(out, name + "_bucket",
                          join(labels, "le=\"" + format_number(this->bounds[i]) + "\""),
                          std::to_string(cumulative));
        }
        append_sample(out, name + "_bucket", join(labels, "le=\"+Inf\""),
                      std::to_string(stat::count(this->totals)));
        append_totals(out, name, labels, this->totals);
    }

private:
    std::vector<double> bounds;
    // Invariant: as many as bounds; values above the last bound count in the totals only.
    std::vector<std::uint64_t> counts;
    total_accumulator totals;
};

class summary_series final : public series, public summary {
public:
    explicit summary_series(const kernel::clock& time) : time(time), window_start(time.now()) {}

    void record(double value) override {
        this->rotate_window();
        this->totals(value);
        this->current(value);
    }

    void append(std::string& out, const std::string& name,
                const std::string& labels) const override {
        const auto age = this->time.now() - this->window_start;
        if (age < 2 * summary_window)
            this->append_quantiles(out, name, labels, this->reported_window(age));
        append_totals(out, name, labels, this->totals);
    }

private:
    static quantile_accumulator empty_window() {
        return quantile_accumulator(stat::extended_p_square_probabilities = summary_quantiles);
    }

    void rotate_window() {
        const auto age = this->time.now() - this->window_start;
        if (age < summary_window)
            return;
        this->complete.reset();
        if (age < 2 * summary_window)
            this->complete = this->current;
        this->current = empty_window();
        this->window_start = this->time.now();
    }

    // The last complete window. The current window counts as complete once its minute has passed.
    const quantile_accumulator& reported_window(helpers::duration age) const {
        return this->complete && age < summary_window ? *this->complete : this->current;
    }

    static void append_quantiles(std::string& out, const std::string& name,
                                 const std::string& labels, const quantile_accumulator& window) {
        if (stat::count(window) < min_quantile_samples)
            return;
        const auto values = stat::extended_p_square(window);
        for (std::size_t i = 0; i < summary_quantiles.size(); ++i)
            append_sample(
                out, name,
                join(labels, "quantile=\"" + format_number(summary_quantiles.at(i)) + "\""),
                format_number(values[static_cast<std::ptrdiff_t>(i)]));
        append_sample(out, name, join(labels, "quantile=\"1\""), format_number(stat::max(window)));
    }

    const kernel::clock& time;
    helpers::time_point window_start;
    std::optional<quantile_accumulator> complete;
    quantile_accumulator current = empty_window();
    total_accumulator totals;
};

// Series of one name by their label text.
using series_map = std::map<std::string, std::unique_ptr<series>, std::less<>>;

// All series of one metric name.
struct family {
    std::string help;
    std::string_view kind;
    series_map members;
};

} // namespace

class metrics::implementation {
public:
    explicit implementation(const kernel::clock& time) : time(time) {}

    // Returns the series and creates it with make() if it does not exist. If a series of another
    // kind has the same name and labels, which is a programming error, the caller gets a new series
    // that is not part of the text.
    template <class Series, class Make>
    Series& find_or_make(const metric_name& name, std::string_view kind, label_list labels,
                         Make make) {
        auto& members = this->members_of(name, kind);
        auto key = label_text(labels);
        if (members.find(key) == members.end() && members.size() >= max_series_per_name) {
            for (auto& label : labels)
                label.value = "other";
            key = label_text(labels);
            this->overflows.add();
        }
        auto& slot = members[key];
        if (auto* existing = dynamic_cast<Series*>(slot.get()))
            return *existing;
        auto created = make();
        auto& result = *created;
        if (slot == nullptr)
            slot = std::move(created);
        else
            this->kind_conflicts.push_back(std::move(created));
        return result;
    }

    std::string text() const {
        std::string out;
        for (const auto& [name, group] : this->families) {
            out.append("# HELP " + name + " " + escape(group.help, false) + "\n");
            out.append("# TYPE " + name + " " + std::string(group.kind) + "\n");
            for (const auto& [labels, member] : group.members)
                member->append(out, name, labels);
        }
        const std::string overflow_name = "samphirespool_metrics_series_overflow_total";
        out.append("# HELP " + overflow_name +
                   " Look-ups of series beyond the limit of series per name.\n");
        out.append("# TYPE " + overflow_name + " counter\n");
        append_sample(out, overflow_name, "", std::to_string(this->overflows.value()));
        return out;
    }

    const kernel::clock& time;

private:
    series_map& members_of(const metric_name& name, std::string_view kind) {
        const auto [found, is_new] = this->families.try_emplace(sanitize_name(name.name));
        if (is_new) {
            found->second.help = name.help;
            found->second.kind = kind;
        }
        return found->second.members;
    }

    std::map<std::string, family> families;
    std::vector<std::unique_ptr<series>> kind_conflicts;
    counter overflows;
};

metrics::metrics(const kernel::clock& time) : impl(std::make_unique<implementation>(time)) {}

metrics::~metrics() = default;

counter& metrics::make_counter(const metric_name& name, label_list labels) {
    const auto make = [] { return std::make_unique<counter_series>(); };
    return this->impl->find_or_make<counter_series>(name, "counter", std::move(labels), make).value;
}

gauge& metrics::make_gauge(const metric_name& name, label_list labels) {
    const auto make = [] { return std::make_unique<gauge_series>(); };
    return this->impl->find_or_make<gauge_series>(name, "gauge", std::move(labels), make).value;
}

histogram& metrics::make_histogram(const metric_name& name, std::span<const double> bounds,
                                   label_list labels) {
    const auto make = [bounds] { return std::make_unique<histogram_series>(bounds); };
    return this->impl->find_or_make<histogram_series>(name, "histogram", std::move(labels), make);
}

summary& metrics::make_summary(const metric_name& name, label_list labels) {
    const auto make = [this] { return std::make_unique<summary_series>(this->impl->time); };
    return this->impl->find_or_make<summary_series>(name, "summary", std::move(labels), make);
}

void metrics::watch_counter(const metric_name& name, std::function<std::uint64_t()> read,
                            label_list labels) {
    const auto make = [&] { return std::make_unique<watched_counter_series>(std::move(read)); };
    this->impl->find_or_make<watched_counter_series>(name, "counter", std::move(labels), make);
}

void metrics::watch_gauge(const metric_name& name, std::function<double()> read,
                          label_list labels) {
    const auto make = [&] { return std::make_unique<watched_gauge_series>(std::move(read)); };
    this->impl->find_or_make<watched_gauge_series>(name, "gauge", std::move(labels), make);
}

std::string metrics::prometheus_text() const {
    return this->impl->text();
}

} // namespace samphirespool::debug
