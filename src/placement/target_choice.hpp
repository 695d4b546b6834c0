// Interface of the strategies by which a gateway chooses the target of a request. Strategies
// register themselves under a name.
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

// A piece of a prompt, identified by a hash of its content.
struct prompt_segment {
    std::uint64_t id = 0;
    std::uint64_t tokens = 0;
};

// A prompt as a list of segments. Requests whose prompts begin with the same segments share a
// prefix, which a target that has processed it may have cached.
struct prompt {
    // In order. The last segment is particular to the request.
    std::vector<prompt_segment> segments;
    std::uint64_t output_tokens = 0;

    std::uint64_t tokens() const;
    // Id of the last segment that other requests share, which identifies the shared prefix; 0 if
    // there is none.
    std::uint64_t shared_prefix() const;
    // Tokens of all segments but the last.
    std::uint64_t shared_prefix_tokens() const;
};

// A target as a strategy sees it.
struct choice_target {
    std::uint64_t serial = 0;
    // Hash of the target's name.
    std::uint64_t name_hash = 0;
    // Estimated requests on the target, running or queued.
    double load = 0;
    // Requests that it runs concurrently.
    double slots = 1;
    // How long work takes on it now, relative to the usual time; 1 if not known.
    double slowness = 1;
    // Tokens of this gateway's prompts that the target has not processed yet.
    std::uint64_t prompt_backlog = 0;
    bool same_data_centre = false;
    // Whether the target can have cached prefixes of earlier prompts: it is not new, not cold and
    // not failing.
    bool can_hold_prefix = true;
    // Whether the target may be chosen. Other targets are only considered as prefix holders.
    bool is_selectable = true;
};

// Time of the choice, and how far this gateway's view of the loads lags behind.
struct choice_context {
    helpers::time_point now{};
    // Number of peers that choose by the same view, times the seconds between updates of the view.
    double peer_seconds = 0;
};

struct choice {
    // Index of the chosen target.
    std::size_t target = 0;
    // Serial of the target that most likely has the shared prefix cached, if it is not the chosen
    // one.
    std::optional<std::uint64_t> prefix_holder;
};

// Strategy for choosing targets; keeps state between requests.
class target_choice {
public:
    static constexpr std::string_view plug_in_kind = "target_choice";

    virtual ~target_choice() = default;

    // Returns nothing if no target should get a request now.
    virtual std::optional<choice> choose(const prompt& request_prompt,
                                         std::span<const choice_target> targets,
                                         const choice_context& context) = 0;
};

using target_choices = kernel::registry<target_choice, kernel::random_source&>;

} // namespace samphirespool::placement
