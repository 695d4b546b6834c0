// Complete check of a configuration: every fault is named at once, with the path to its field.
#pragma once

#include "config/fleet_configuration.hpp"
#include "kernel/error.hpp"

#include <string_view>
#include <vector>

namespace samphirespool::config {

// Empty if the configuration may be accepted.
std::vector<kernel::error> check(const fleet_configuration& configuration);

// As check(), of one organisation alone. No rule but the uniqueness of API keys ties one
// organisation to another.
std::vector<kernel::error> check(const organisation_definition& organisation);

// A name of a document or mark: 1 to 64 letters, digits, '.', '_' or '-'.
bool is_valid_name(std::string_view name);

// The presets that exist, in the order in which they are written.
inline constexpr std::string_view preset_names[] = {"ordinary", "peak", "maintenance"};

// A configuration without services and organisations, with the three presets.
fleet_configuration initial_configuration();

} // namespace samphirespool::config
