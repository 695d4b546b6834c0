// Runs the strategies over one trace.
#include "bench/placement/replay/contestants.hpp"

#include "bench/placement/replay/all_knowing.hpp"

namespace samphirespool::replay {

namespace {

constexpr double no_bound = 1e12;
const std::string plain_hash = "consistent-hash";

double ratio(double value, double base) {
    return base > 0 ? value / base : 1;
}

} // namespace

const std::vector<contestant>& contestants() {
    static const std::vector<contestant> all{
        {product, product, true},
        {oracle, oracle, true},
        {plain_hash, plain_hash, false},
        {"consistent-hash-bounded", plain_hash, true},
        {"round-robin", "round-robin", false},
        {"least-loaded", "least-loaded", false},
        {"random-of-two", "random-of-two", false},
    };
    return all;
}

simulation_options options_for(const contestant& one, const trace& replayed) {
    simulation_options options;
    options.load_multiple = one.bounded ? replayed.load_multiple : no_bound;
    options.remember_keys = one.name == product;
    options.keep_slots = one.bounded;
    options.make =
        [name = one.strategy](const world& real) -> std::unique_ptr<placement::placement_strategy> {
        if (name == oracle)
            return std::make_unique<all_knowing>(real);
        return placement::strategy_registry::instance().make(name);
    };
    return options;
}

figure_table replay_one(const trace& replayed, const contestant& one,
                        std::span<const arrival> arrivals) {
    simulation run(replayed, arrivals, options_for(one, replayed));
    return figures_of(run.run());
}

std::map<std::string, figure_table> replay_all(const trace& replayed,
                                               const std::vector<contestant>& wanted) {
    std::map<std::string, figure_table> results;
    const auto arrivals = generate(replayed, true);
    for (const auto& one : wanted)
        results[one.name] = replay_one(replayed, one, arrivals);
    auto& own = results.at(product);
    if (results.contains(oracle))
        own["reuse_vs_all_knowing"] = ratio(own["reuse"], results[oracle]["reuse"]);
    if (results.contains(plain_hash))
        own["reuse_vs_consistent_hash"] = ratio(own["reuse"], results[plain_hash]["reuse"]);
    const auto calm = replay_one(replayed, {product, product, true}, generate(replayed, false));
    own["quiet_first_byte_p95_under_surge"] = ratio(own["quiet_first_byte_during_surge_p95"],
                                                    calm.at("quiet_first_byte_during_surge_p95"));
    return results;
}

} // namespace samphirespool::replay
