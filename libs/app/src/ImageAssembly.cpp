#include "ImageAssembly.h"

#include "policy/RateShard.h"

#include <utility>

namespace knapweedloft::app {
namespace {

constexpr absl::Duration ChunkWithin = absl::Seconds(2);
constexpr std::size_t MaxImageBytes = std::size_t{64} << 20;

} // namespace

void ImageAssembly::start(const std::string &From, absl::Time Now) {
  m_From = From;
  m_HeardAt = Now;
  m_Next = 0;
  m_Bytes.clear();
}

bool ImageAssembly::isUnderWay(absl::Time Now) const {
  return !m_From.empty() && Now < m_HeardAt + ChunkWithin;
}

std::optional<std::string>
ImageAssembly::onChunk(const std::string &From,
                       const link::wire::ImageChunkT &Chunk, absl::Time Now) {
  if (From != m_From || Chunk.index != m_Next)
    return std::nullopt;
  if (Chunk.index > 0 && Chunk.checksum != m_Checksum)
    return std::nullopt;
  if (m_Bytes.size() + Chunk.bytes.size() > MaxImageBytes)
    return std::nullopt;
  m_HeardAt = Now;
  m_Checksum = Chunk.checksum;
  m_Bytes.append(Chunk.bytes.begin(), Chunk.bytes.end());
  if (++m_Next < Chunk.count)
    return std::nullopt;
  m_From.clear();
  std::string Image = std::exchange(m_Bytes, {});
  if (policy::stableHash(Image) != m_Checksum)
    return std::nullopt;
  return Image;
}

} // namespace knapweedloft::app
