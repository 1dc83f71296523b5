#ifndef KNAPWEEDLOFT_APP_IMAGEASSEMBLY_H
#define KNAPWEEDLOFT_APP_IMAGEASSEMBLY_H

#include "link/generated/link_generated.h"

#include "absl/time/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace knapweedloft::app {

/// Puts the chunks of an image together that one peer sends in order.
class ImageAssembly {
public:
  /// Starts over, with chunks of \p From.
  void start(const std::string &From, absl::Time Now);

  /// \returns whether chunks are still awaited; gives up after a while.
  [[nodiscard]] bool isUnderWay(absl::Time Now) const;

  /// \returns the whole image with its last chunk, if the checksum agrees.
  std::optional<std::string> onChunk(const std::string &From,
                                     const link::wire::ImageChunkT &Chunk,
                                     absl::Time Now);

private:
  std::string m_From;
  absl::Time m_HeardAt = absl::InfinitePast();
  std::uint32_t m_Next = 0;
  std::uint64_t m_Checksum = 0;
  std::string m_Bytes;
};

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_IMAGEASSEMBLY_H
