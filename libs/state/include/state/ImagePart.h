#ifndef KNAPWEEDLOFT_STATE_IMAGEPART_H
#define KNAPWEEDLOFT_STATE_IMAGEPART_H

#include "model/LogOffset.h"

#include <cstdint>
#include <string>

namespace knapweedloft::state {

/// A piece of an image of the state.
struct ImagePart {
  model::LogOffset m_Offset = 0; ///< The image covers every record before it.
  std::uint32_t m_Index = 0;
  std::uint32_t m_Count = 0;
  std::uint64_t m_Checksum = 0; ///< Of the whole image, see checksumOf().
  std::string m_Bytes;
};

} // namespace knapweedloft::state

#endif // KNAPWEEDLOFT_STATE_IMAGEPART_H
