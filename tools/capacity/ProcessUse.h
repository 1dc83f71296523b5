#ifndef KNAPWEEDLOFT_CAPACITY_PROCESSUSE_H
#define KNAPWEEDLOFT_CAPACITY_PROCESSUSE_H

#include <cstddef>

namespace knapweedloft::capacity {

/// \returns bytes that the allocator has handed out in this process.
[[nodiscard]] std::size_t allocatedBytes();

/// \returns processor time of this process in seconds.
[[nodiscard]] double processorSeconds();

} // namespace knapweedloft::capacity

#endif // KNAPWEEDLOFT_CAPACITY_PROCESSUSE_H
