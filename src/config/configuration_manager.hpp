// The configuration in force in one router: the highest accepted version it has learnt, with the
// provisional leave marks laid over it, and the latest deltas for peers that are behind.
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

enum class adoption : std::uint8_t {
    adopted,
    // The version is not above the one in force.
    not_newer,
    // The delta does not start at the version in force, or does not fit.
    gap,
};

class configuration_manager {
public:
    // Deltas kept for peers; a peer further behind fetches the whole configuration.
    static constexpr std::size_t max_kept_deltas = 64;

    // Null until the first version was adopted. Invariant: the version never decreases.
    std::shared_ptr<const fleet_configuration> current() const { return this->in_force; }
    bool has_state() const { return this->in_force != nullptr; }
    const configuration_state& state() const { return this->latest; }
    const provisional_marks& provisional() const { return this->marks; }

    adoption adopt(configuration_state next);
    adoption adopt(const configuration_delta& delta);

    // Returns whether the mark is new and in effect now.
    bool add_provisional(const provisional_mark& mark);

    // The encoded deltas from the version to the one in force, in order. Nothing if they are no
    // longer kept.
    std::optional<std::vector<std::string>> deltas_since(configuration_version version) const;

    // The encoded delta that led to the version in force. Null if that was learnt whole.
    const std::string* latest_delta() const;

    // Runs after current() changed.
    void on_change(std::function<void()> listener);

private:
    struct kept_delta {
        configuration_version from = 0;
        std::string text;
    };

    void take(configuration_state next, kept_delta delta);
    void refresh();

    configuration_state latest = initial_state();
    provisional_marks marks;
    std::shared_ptr<const fleet_configuration> in_force;
    // Invariant: each delta starts where the one before ends; the last ends at latest.
    std::deque<kept_delta> deltas;
    std::vector<std::function<void()>> listeners;
};

} // namespace samphirespool::config
