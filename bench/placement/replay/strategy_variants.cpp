// Replays strategy variants over one trace.
#include "bench/placement/replay/strategy_variants.hpp"

#include "bench/placement/replay/oracle_strategy.hpp"

namespace samphirespool::replay {

namespace {

constexpr double no_bound = 1e12;
const std::string plain_hash = "consistent-hash";

double ratio(double value, double base) {
    return base > 0 ? value / base : 1;
}

} // namespace

const std::vector<strategy_variant>& strategy_variants() {
    static const std::vector<strategy_variant> all{
        {production_strategy, production_strategy, true},
        {oracle_name, oracle_name, true},
        {plain_hash, plain_hash, false},
        {"consistent-hash-bounded", plain_hash, true},
        {"round-robin", "round-robin", false},
        {"least-loaded", "least-loaded", false},
        {"random-of-two", "random-of-two", false},
    };
    return all;
}

simulation_options options_for(const strategy_variant& variant, const trace& replayed) {
    simulation_options options;
    options.load_multiple = variant.bounded ? replayed.load_multiple : no_bound;
    options.use_key_hints = variant.name == production_strategy;
    options.limit_backlog_slots = variant.bounded;
    options.create_strategy =
        [name = variant.strategy](
            const simulated_fleet& fleet) -> std::unique_ptr<placement::placement_strategy> {
        if (name == oracle_name)
            return std::make_unique<oracle_strategy>(fleet);
        return placement::strategy_registry::instance().make(name);
    };
    return options;
}

figure_table replay_one(const trace& replayed, const strategy_variant& variant,
                        std::span<const arrival> arrivals) {
    simulation run(replayed, arrivals, options_for(variant, replayed));
    return figures_of(run.run());
}

std::map<std::string, figure_table> replay_all(const trace& replayed,
                                               const std::vector<strategy_variant>& wanted) {
    std::map<std::string, figure_table> results;
    const auto arrivals = generate(replayed, true);
    for (const auto& variant : wanted)
        results[variant.name] = replay_one(replayed, variant, arrivals);
    auto& production = results.at(production_strategy);
    if (results.contains(oracle_name))
        production["reuse_vs_all_knowing"] =
            ratio(production["reuse"], results[oracle_name]["reuse"]);
    if (results.contains(plain_hash))
        production["reuse_vs_consistent_hash"] =
            ratio(production["reuse"], results[plain_hash]["reuse"]);
    const auto without_surge = replay_one(
        replayed, {production_strategy, production_strategy, true}, generate(replayed, false));
    production["quiet_first_byte_p95_under_surge"] =
        ratio(production["quiet_first_byte_during_surge_p95"],
              without_surge.at("quiet_first_byte_during_surge_p95"));
    return results;
}

} // namespace samphirespool::replay
