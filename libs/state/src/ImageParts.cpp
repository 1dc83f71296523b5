#include "state/ImageParts.h"

#include "state/KeyText.h"

#include <algorithm>
#include <utility>

namespace knapweedloft::state {

std::uint64_t checksumOf(std::string_view Bytes) {
  const model::KeyDigest Digest = digestOf(Bytes);
  std::uint64_t Checksum = 0;
  for (std::size_t Index = 0; Index < sizeof(Checksum); ++Index)
    Checksum = (Checksum << 8) | Digest[Index];
  return Checksum;
}

std::vector<ImagePart> splitImage(model::LogOffset Offset,
                                  std::string_view Image,
                                  std::size_t MaxPartBytes) {
  const std::size_t Count = std::max<std::size_t>(
      1, (Image.size() + MaxPartBytes - 1) / MaxPartBytes);
  const std::uint64_t Checksum = checksumOf(Image);
  std::vector<ImagePart> Parts;
  Parts.reserve(Count);
  for (std::size_t Index = 0; Index < Count; ++Index)
    Parts.push_back({.m_Offset = Offset,
                     .m_Index = static_cast<std::uint32_t>(Index),
                     .m_Count = static_cast<std::uint32_t>(Count),
                     .m_Checksum = Checksum,
                     .m_Bytes = std::string(
                         Image.substr(Index * MaxPartBytes, MaxPartBytes))});
  return Parts;
}

std::optional<std::string> ImageAssembler::add(const ImagePart &Part) {
  if (!isAcceptable(Part))
    return std::nullopt;
  const ImageId Id{Part.m_Offset, Part.m_Checksum, Part.m_Count};
  Unfinished &Image = m_Images[Id];
  if (Image.m_Bytes + Part.m_Bytes.size() > m_Limits.m_MaxImageBytes)
    return std::nullopt;
  if (Image.m_Parts.emplace(Part.m_Index, Part.m_Bytes).second)
    Image.m_Bytes += Part.m_Bytes.size();
  if (Image.m_Parts.size() < Part.m_Count) {
    while (m_Images.size() > m_Limits.m_MaxImages)
      m_Images.erase(m_Images.begin());
    return std::nullopt;
  }
  std::string Whole;
  Whole.reserve(Image.m_Bytes);
  for (const auto &[Index, Bytes] : Image.m_Parts)
    Whole += Bytes;
  m_Images.erase(Id);
  if (checksumOf(Whole) != Part.m_Checksum)
    return std::nullopt;
  return Whole;
}

bool ImageAssembler::isAcceptable(const ImagePart &Part) const {
  return Part.m_Count > 0 && Part.m_Index < Part.m_Count &&
         Part.m_Bytes.size() <= m_Limits.m_MaxImageBytes;
}

} // namespace knapweedloft::state
