// The difference of two accepted versions, small enough to be pushed to every router.
#pragma once

#include "config/configuration_state.hpp"

#include <optional>
#include <string>
#include <vector>

namespace samphirespool::config {

struct configuration_delta {
    configuration_version from = 0;
    configuration_version to = 0;
    // RFC 6902 patch of the root's JSON form.
    std::string root_patch;
    document_set changed;
    std::vector<std::string> removed_services;
    std::vector<std::string> removed_organisations;
};

configuration_delta diff_states(const configuration_state& from, const configuration_state& to);

// Returns nothing unless the delta starts at the state's version and its patch fits.
std::optional<configuration_state> apply_delta(const configuration_state& before,
                                               const configuration_delta& delta);

std::string write_delta(const configuration_delta& delta);
std::optional<configuration_delta> parse_delta(std::string_view text);

} // namespace samphirespool::config
