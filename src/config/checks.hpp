// Validation of a configuration: reports all faults at once, each with the path to its field.
#pragma once

#include "config/fleet_configuration.hpp"
#include "kernel/error.hpp"

#include <string_view>
#include <vector>

namespace samphirespool::config {

// Returns the faults of kind `invalid_configuration`; empty if the configuration is valid.
std::vector<kernel::error> check(const fleet_configuration& configuration);

// Validates a single organisation. Only the uniqueness of API keys needs the whole configuration.
std::vector<kernel::error> check(const organisation_definition& organisation);

// Whether the text is a valid name of a document or mark: 1 to 64 letters, digits, '.', '_' or '-'.
bool is_valid_name(std::string_view name);

// Names of the fixed set of presets, in the order in which they are written.
inline constexpr std::string_view preset_names[] = {"ordinary", "peak", "maintenance"};

// Returns a configuration without services and organisations, with the three presets at their
// defaults.
fleet_configuration initial_configuration();

} // namespace samphirespool::config
