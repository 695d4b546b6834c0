// Asks the kernel.
#include "settings/machine_memory.hpp"

#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <string>

namespace samphirespool::settings {

namespace {

constexpr std::size_t bytes_per_mb = std::size_t{1} << 20;
constexpr auto group_limit_file = "/sys/fs/cgroup/memory.max";

} // namespace

std::size_t machine_memory_mb() {
    const auto pages = sysconf(_SC_PHYS_PAGES);
    const auto page_bytes = sysconf(_SC_PAGESIZE);
    if (pages <= 0 || page_bytes <= 0)
        return 0;
    auto bytes = static_cast<std::size_t>(pages) * static_cast<std::size_t>(page_bytes);
    // The file contains "max" if there is no limit.
    std::ifstream file(group_limit_file);
    std::size_t group_limit = 0;
    if (file >> group_limit)
        bytes = std::min(bytes, group_limit);
    return bytes / bytes_per_mb;
}

std::size_t memory_limit_mb(std::size_t setting) {
    return setting == 0 ? machine_memory_mb() : setting;
}

} // namespace samphirespool::settings
