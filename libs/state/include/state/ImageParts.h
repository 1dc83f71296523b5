#ifndef KNAPWEEDLOFT_STATE_IMAGEPARTS_H
#define KNAPWEEDLOFT_STATE_IMAGEPARTS_H

#include "state/ImagePart.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace knapweedloft::state {

/// \returns the first 64 bits of the SHA-256 of \p Bytes.
[[nodiscard]] std::uint64_t checksumOf(std::string_view Bytes);

/// Cuts the image of the state at \p Offset into parts of at most
/// \p MaxPartBytes. There is at least one part.
[[nodiscard]] std::vector<ImagePart> splitImage(model::LogOffset Offset,
                                                std::string_view Image,
                                                std::size_t MaxPartBytes);

/// Puts images together from parts that come in any order, more than once, from
/// several writers, or not at all. Keeps a bounded number of unfinished images,
/// of which the oldest gives way. Not thread-safe.
class ImageAssembler {
public:
  struct Options {
    std::size_t m_MaxImages = 2;
    std::size_t m_MaxImageBytes = std::size_t{32} << 20;
  };

  explicit ImageAssembler(Options Limits) : m_Limits(Limits) {}
  ImageAssembler() : ImageAssembler(Options{}) {}

  /// \returns the whole image if \p Part was its last one and its checksum is
  /// right. A part that cannot belong to an image is dropped.
  std::optional<std::string> add(const ImagePart &Part);

private:
  using ImageId = std::tuple<model::LogOffset, std::uint64_t, std::uint32_t>;
  struct Unfinished {
    std::map<std::uint32_t, std::string> m_Parts;
    std::size_t m_Bytes = 0;
  };

  [[nodiscard]] bool isAcceptable(const ImagePart &Part) const;

  Options m_Limits;
  std::map<ImageId, Unfinished> m_Images;
};

} // namespace knapweedloft::state

#endif // KNAPWEEDLOFT_STATE_IMAGEPARTS_H
