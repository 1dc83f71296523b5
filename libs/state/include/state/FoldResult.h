#ifndef KNAPWEEDLOFT_STATE_FOLDRESULT_H
#define KNAPWEEDLOFT_STATE_FOLDRESULT_H

#include "model/NameTable.h"

#include <cstdint>

namespace knapweedloft::state {

/// What the fold did with a record. Every daemon does the same with the same
/// record at the same offset.
enum class FoldResult : std::uint8_t {
  Applied,
  Duplicate, ///< A second copy of a change, a join or a leave.
  Rejected,  ///< Lost a race, or refers to what does not exist.
  Garbage,   ///< Not a valid record.
  ImagePart, ///< Changes nothing.
};

inline constexpr model::NameTable<FoldResult, 5> FoldResultNames{
    {"applied", "duplicate", "rejected", "garbage", "image-part"}};

} // namespace knapweedloft::state

#endif // KNAPWEEDLOFT_STATE_FOLDRESULT_H
