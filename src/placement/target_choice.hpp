// Chooses the target of one request among those that may take it. Strategies register themselves
// under a name.
#pragma once

#include "helpers/ids.hpp"
#include "helpers/time.hpp"
#include "kernel/random.hpp"
#include "kernel/registry.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace samphirespool::placement {

struct prompt_segment {
    std::uint64_t id = 0;
    std::uint64_t tokens = 0;
};

struct prompt {
    // In order. The last part is the request's own.
    std::vector<prompt_segment> segments;
    std::uint64_t output_tokens = 0;

    std::uint64_t tokens() const;
    // The last part that other requests share; 0 if there is none.
    std::uint64_t shared_prefix() const;
    // Of all parts but the last.
    std::uint64_t shared_prefix_tokens() const;
};

struct choice_target {
    std::uint64_t serial = 0;
    // Of its name.
    std::uint64_t name_hash = 0;
    // Estimated requests there, and how many run at once.
    double load = 0;
    double slots = 1;
    // Tokens of this process's prompts that it has not read yet.
    std::uint64_t prompt_backlog = 0;
    bool same_data_centre = false;
    // Has been there long enough to hold parts of older prompts, and answers.
    bool can_hold_prefix = true;
    // May be chosen. The others only tell where parts of prompts are.
    bool is_selectable = true;
};

// How far this process's view lags behind the fleet.
struct choice_context {
    helpers::time_point now{};
    // Other processes that choose by the same view, times the seconds until it is next told.
    double peer_seconds = 0;
};

struct choice {
    // Index of the chosen target.
    std::size_t target = 0;
    // Serial of a target that most likely holds the shared parts while the chosen one may not.
    std::optional<std::uint64_t> prefix_holder;
};

class target_choice {
public:
    static constexpr std::string_view plug_in_kind = "target_choice";

    virtual ~target_choice() = default;

    // Nothing if all should be left alone for now.
    virtual std::optional<choice> choose(const prompt& wanted, std::span<const choice_target> among,
                                         const choice_context& pace) = 0;
};

using target_choices = kernel::registry<target_choice, kernel::random_source&>;

} // namespace samphirespool::placement
