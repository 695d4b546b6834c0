// Replays the traces with every strategy and measures the cost of a decision. Arguments: traces to
// replay, or "decisions" for the cost alone; all by default. Prints one JSON object a line.
#include "bench/placement/decision_cost.hpp"
#include "bench/placement/replay/strategy_variants.hpp"

#include <cstdio>
#include <string_view>

using namespace samphirespool;

namespace {

std::string_view unit_of(std::string_view figure) {
    if (figure.starts_with("quiet_") || figure.starts_with("surge_"))
        return figure.ends_with("under_surge") ? "ratio" : "s";
    if (figure.starts_with("reuse"))
        return figure.find("_vs_") == std::string_view::npos ? "share" : "ratio";
    if (figure.starts_with("skew") || figure.starts_with("highest"))
        return "ratio";
    return "requests";
}

void print_expectations(const replay::trace& replayed, const replay::figure_table& figures) {
    for (const auto& expected : replayed.expectations) {
        const auto found = figures.find(expected.figure);
        const auto value = found == figures.end() ? -1 : found->second;
        const bool met = found != figures.end() &&
                         (expected.at_most ? value <= expected.bound : value >= expected.bound);
        std::printf("{\"bench\":\"placement\",\"figure\":\"%s.target.%s\",\"value\":%.4g,"
                    "\"unit\":\"%s\",\"baseline\":\"%s %g: %s\"}\n",
                    replayed.name.c_str(), expected.figure.c_str(), value,
                    unit_of(expected.figure).data(), expected.at_most ? "at most" : "at least",
                    expected.bound, met ? "met" : "missed");
    }
}

bool run_trace(const std::string& name) {
    std::string fault;
    const auto read = replay::read_trace("traces/" + name + ".trace", fault);
    if (!read) {
        std::fprintf(stderr, "bench-placement: %s: %s\n", name.c_str(), fault.c_str());
        return false;
    }
    const auto results = replay::replay_all(*read, replay::strategy_variants());
    for (const auto& [strategy, figures] : results)
        for (const auto& [figure, value] : figures)
            std::printf("{\"bench\":\"placement\",\"figure\":\"%s.%s\",\"value\":%.6g,"
                        "\"unit\":\"%s\",\"baseline\":\"%s\"}\n",
                        name.c_str(), figure.c_str(), value, unit_of(figure).data(),
                        strategy == replay::production_strategy ? "none" : strategy.c_str());
    print_expectations(*read, results.at(replay::production_strategy));
    std::fflush(stdout);
    return true;
}

} // namespace

int main(int count, char** arguments) {
    std::vector<std::string> names(arguments + 1, arguments + count);
    if (names == std::vector<std::string>{"decisions"}) {
        bench::print_decision_cost();
        return 0;
    }
    if (names.empty()) {
        bench::print_decision_cost();
        names = {"kandy", "hanbit", "fleet"};
    }
    bool good = true;
    for (const auto& name : names)
        good = run_trace(name) && good;
    return good ? 0 : 1;
}
