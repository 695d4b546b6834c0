// The fleet of a replay: the current state of its engines, and the delayed views of it that routers
// and share owners have.
#pragma once

#include "admission/target_ledger.hpp"
#include "bench/placement/replay/engine.hpp"
#include "placement/placement_strategy.hpp"
#include "placement/target_directory.hpp"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace samphirespool::replay {

// A target's service and its number within the service.
struct target_place {
    std::uint32_t service = 0;
    std::uint32_t number = 0;
};

class simulated_fleet;

// Creates a strategy for the targets of one service in one region.
using strategy_factory =
    std::function<std::unique_ptr<placement::placement_strategy>(const simulated_fleet& fleet)>;

// The view that all routers with the same lag have.
struct view {
    struct service_view {
        std::vector<placement::target_view> targets;
        std::unique_ptr<placement::placement_strategy> strategy;
    };

    placement::target_directory directory;
    double lag_seconds = 0;
    // By service, then region.
    std::vector<std::vector<service_view>> service_views;
};

class simulated_fleet {
public:
    // Routers are spread over at most this many views, each with its own lag.
    static constexpr std::size_t view_classes = 12;

    simulated_fleet(const trace& replayed_trace, const strategy_factory& create_strategy,
                    double load_multiple);

    engine& engine_at(target_place place) { return this->engines[place.service][place.number]; }
    const engine& engine_at(target_place place) const {
        return this->engines[place.service][place.number];
    }
    target_place place_of(helpers::target_id target) const { return this->places.at(target); }
    helpers::target_id id_of(target_place place) const;
    std::uint32_t data_centre_of(target_place place) const;
    std::uint32_t region_of(target_place place) const;
    std::uint32_t targets_of(std::uint32_t service) const;

    view& view_of(std::uint32_t router) { return this->views[router % this->views.size()]; }
    std::size_t count_views() const { return this->views.size(); }
    double lag_of(std::size_t view_class) const { return this->views[view_class].lag_seconds; }
    admission::target_ledger& ledger(std::uint32_t service, std::uint32_t region) {
        return this->ledgers[service][region];
    }

    // The VM list and the configuration at one moment.
    struct fleet_state {
        std::vector<helpers::vm_entry> vms;
        config::fleet_configuration configuration;
    };

    std::shared_ptr<const fleet_state> snapshot_state() const;
    // Sets an operator's mark in the configuration; views receive it with the next fleet state.
    void mark(std::uint32_t data_centre, config::mark_state state, double now);

    // Applies a fleet state to the view of a class of routers, or to the owners' directory and
    // ledgers.
    void update_view(std::size_t view_class, const fleet_state& state, double now);
    void update_owners(const fleet_state& state, double now);

    // Raises the weights of returning targets by the steps that are due, in all views.
    void advance(double now);

    // The request that is being placed; only the oracle strategy reads it.
    const arrival* current_request() const { return this->current; }
    void set_current_request(const arrival* request) { this->current = request; }

    // True from the mark `leaving` until the mark `returning`, whatever the routers' views are.
    bool is_drained(std::uint32_t data_centre) const { return this->drained[data_centre]; }

private:
    void rebuild(view& changed);
    std::string name_of(target_place place) const;

    const trace& replayed_trace;
    strategy_factory create_strategy;
    std::vector<std::vector<engine>> engines;
    std::unordered_map<helpers::target_id, target_place> places;
    std::vector<view> views;
    placement::target_directory owners_directory;
    std::vector<std::vector<admission::target_ledger>> ledgers;
    config::fleet_configuration configuration;
    std::vector<bool> drained;
    const arrival* current = nullptr;
};

// Convert seconds since the start of the replay.
helpers::time_point to_time(double seconds);
helpers::wall_milliseconds to_wall(double seconds);

} // namespace samphirespool::replay
