#ifndef KNAPWEEDLOFT_MODEL_PRIORITY_H
#define KNAPWEEDLOFT_MODEL_PRIORITY_H

#include "model/NameTable.h"

#include <cstddef>
#include <cstdint>

namespace knapweedloft::model {

/// Importance of a request, most important first: under overload the last is
/// shed first.
enum class Priority : std::uint8_t { Critical, High, Normal, Low };

inline constexpr std::size_t PriorityCount = 4;

inline constexpr NameTable<Priority, PriorityCount> PriorityNames{
    {"critical", "high", "normal", "low"}};

} // namespace knapweedloft::model

#endif // KNAPWEEDLOFT_MODEL_PRIORITY_H
