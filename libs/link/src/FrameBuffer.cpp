#include "FrameBuffer.h"

#include <cstring>

namespace knapweedloft::link {
namespace {

/// Above it the buffer is given back once it is empty.
constexpr std::size_t KeptBytes = std::size_t{256} * 1024;

std::size_t lengthAt(const std::uint8_t *Prefix) {
  return Prefix[0] | std::size_t(Prefix[1]) << 8 |
         std::size_t(Prefix[2]) << 16 | std::size_t(Prefix[3]) << 24;
}

} // namespace

std::span<std::uint8_t> FrameBuffer::room() {
  if (m_Begin > 0) {
    std::memmove(m_Bytes.data(), m_Bytes.data() + m_Begin, m_End - m_Begin);
    m_End -= m_Begin;
    m_Begin = 0;
  }
  if (m_End == 0 && m_Bytes.size() > KeptBytes) {
    m_Bytes = {};
    m_Aligned = {};
  }
  if (m_Bytes.size() < m_End + ReadBytes)
    m_Bytes.resize(m_End + ReadBytes);
  return {m_Bytes.data() + m_End, ReadBytes};
}

void FrameBuffer::commit(std::size_t Bytes) { m_End += Bytes; }

FrameBuffer::Result FrameBuffer::next(std::span<const std::uint8_t> &Frame) {
  if (m_End - m_Begin < PrefixBytes)
    return Result::NeedMore;
  std::size_t Length = lengthAt(m_Bytes.data() + m_Begin);
  if (Length > m_MaxFrameBytes)
    return Result::Oversize;
  if (m_End - m_Begin - PrefixBytes < Length)
    return Result::NeedMore;
  m_Aligned.resize(Length / sizeof(std::uint64_t) + 1);
  std::memcpy(m_Aligned.data(), m_Bytes.data() + m_Begin + PrefixBytes, Length);
  m_Begin += PrefixBytes + Length;
  Frame = {reinterpret_cast<const std::uint8_t *>(m_Aligned.data()), Length};
  return Result::Frame;
}

} // namespace knapweedloft::link
