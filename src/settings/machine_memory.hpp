// The memory that this process may use, for processes whose settings do not state it.
#pragma once

#include <cstddef>

namespace samphirespool::settings {

// The smaller one of the machine's memory and the limit of the process's control group, in MB.
std::size_t machine_memory_mb();

// The setting, or the machine's memory if it is 0.
std::size_t memory_limit_mb(std::size_t setting);

} // namespace samphirespool::settings
