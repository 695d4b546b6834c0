// The difference between two accepted versions of the configuration. Routers push deltas to their
// peers instead of the whole configuration.
#pragma once

#include "config/configuration_state.hpp"

#include <optional>
#include <string>
#include <vector>

namespace samphirespool::config {

struct configuration_delta {
    // The delta turns version `from` into version `to`.
    configuration_version from = 0;
    configuration_version to = 0;
    // RFC 6902 patch of the root's JSON form.
    std::string root_patch;
    // Documents that were added or changed.
    document_set changed;
    std::vector<std::string> removed_services;
    std::vector<std::string> removed_organisations;
};

configuration_delta diff_states(const configuration_state& from, const configuration_state& to);

// Returns the state of version `delta.to`. Returns nothing if the delta does not start at the
// version of `before`, its patch does not apply, or the preset in force does not exist. The object
// version of the result is 0.
std::optional<configuration_state> apply_delta(const configuration_state& before,
                                               const configuration_delta& delta);

// JSON form of a delta. Parsing returns nothing if the text is malformed.
std::string write_delta(const configuration_delta& delta);
std::optional<configuration_delta> parse_delta(std::string_view text);

} // namespace samphirespool::config
