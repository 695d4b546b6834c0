// Settings of the C library's heap.
#pragma once

#include <malloc.h>

namespace samphirespool::helpers {

// Returns large blocks, such as bodies of requests, to the kernel when they are freed. By default
// the library keeps blocks of a size that was freed before, and the heap stays as large as it was
// at its peak.
inline void return_large_blocks() {
    constexpr int large_bytes = 64 << 10;
    mallopt(M_MMAP_THRESHOLD, large_bytes);
    mallopt(M_TRIM_THRESHOLD, 2 * large_bytes);
}

} // namespace samphirespool::helpers
