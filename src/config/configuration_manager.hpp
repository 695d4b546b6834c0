// The configuration in force in one router: the highest accepted version that it has received,
// merged with the provisional leave marks. Retains the latest deltas for peers that are behind.
#pragma once

#include "config/configuration_delta.hpp"
#include "config/provisional_marks.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace samphirespool::config {

enum class adopt_result : std::uint8_t {
    adopted,
    // The version is not above the one in force.
    not_newer,
    // The delta does not start at the version in force, or its patch does not apply.
    gap,
};

class configuration_manager {
public:
    // Deltas retained for peers; a peer further behind fetches the whole configuration.
    static constexpr std::size_t max_retained_deltas = 64;

    // The configuration in force. Null until the first version was adopted. Invariant: the version
    // never decreases.
    std::shared_ptr<const fleet_configuration> current() const { return this->in_force; }
    bool has_state() const { return this->in_force != nullptr; }
    // The accepted state without provisional marks; the initial state until one was adopted.
    const configuration_state& state() const { return this->latest; }
    const provisional_marks& provisional() const { return this->marks; }

    // Puts the state, or the one that the delta leads to, in force if its version is higher.
    adopt_result adopt(configuration_state next);
    adopt_result adopt(const configuration_delta& delta);

    // Returns whether the mark was added; false if it was added before, is settled, or there are
    // too many.
    bool add_provisional(const provisional_mark& mark);

    // Returns the encoded deltas that lead from the version to the one in force, in order. Returns
    // nothing if some of them are not retained.
    std::optional<std::vector<std::string>> deltas_since(configuration_version version) const;

    // The encoded delta that led to the version in force. Null if no delta is retained, as after
    // the first version.
    const std::string* latest_delta() const;

    // Adds a listener that runs after each change of current().
    void on_change(std::function<void()> listener);

private:
    struct encoded_delta {
        configuration_version from = 0;
        std::string text;
    };

    void install(configuration_state next, encoded_delta delta);
    // Merges the latest state with the provisional marks and notifies the listeners.
    void update_in_force();

    configuration_state latest = initial_state();
    provisional_marks marks;
    std::shared_ptr<const fleet_configuration> in_force;
    // Invariant: each delta starts where the one before ends; the last ends at latest.
    std::deque<encoded_delta> deltas;
    std::vector<std::function<void()>> listeners;
};

} // namespace samphirespool::config
