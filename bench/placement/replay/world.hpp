// The fleet of a replay: the engines as they are, and the views of them that routers and owners
// hold, each late by its own time.
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

// Where a target is: its service and its number there.
struct target_place {
    std::uint32_t service = 0;
    std::uint32_t number = 0;
};

class world;

// Makes a strategy for the targets of one service in one region.
using strategy_maker =
    std::function<std::unique_ptr<placement::placement_strategy>(const world& real)>;

// What routers with the same lag see.
struct view {
    struct part {
        std::vector<placement::target_view> targets;
        std::unique_ptr<placement::placement_strategy> strategy;
    };

    placement::target_directory directory;
    double lag_seconds = 0;
    // By service, then region.
    std::vector<std::vector<part>> parts;
};

class world {
public:
    static constexpr std::size_t view_classes = 12;

    world(const trace& from, const strategy_maker& make, double load_multiple);

    engine& at(target_place place) { return this->engines[place.service][place.number]; }
    const engine& at(target_place place) const {
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

    // The truth as the platform and the configuration state it at this moment.
    struct truth {
        std::vector<helpers::vm_entry> vms;
        config::fleet_configuration configuration;
    };

    std::shared_ptr<const truth> state_truth() const;
    void mark(std::uint32_t data_centre, config::mark_state state, double now);

    // A class of routers, or the owners, learn a state of the truth.
    void learn(std::size_t view_class, const truth& known, double now);
    void learn_as_owners(const truth& known, double now);

    // Applies the weight slices that are due in all views.
    void advance(double now);

    // The request that is being placed, for the policy that sees everything.
    const arrival* placing() const { return this->current; }
    void set_placing(const arrival* request) { this->current = request; }

    bool has_left(std::uint32_t data_centre) const { return this->left[data_centre]; }

private:
    void rebuild(view& changed);
    std::string name_of(target_place place) const;

    const trace& from;
    strategy_maker make;
    std::vector<std::vector<engine>> engines;
    std::unordered_map<helpers::target_id, target_place> places;
    std::vector<view> views;
    placement::target_directory owners_directory;
    std::vector<std::vector<admission::target_ledger>> ledgers;
    config::fleet_configuration configuration;
    std::vector<bool> left;
    const arrival* current = nullptr;
};

helpers::time_point to_time(double seconds);
helpers::wall_milliseconds to_wall(double seconds);

} // namespace samphirespool::replay
