#ifndef KNAPWEEDLOFT_LINK_FRAMEBUFFER_H
#define KNAPWEEDLOFT_LINK_FRAMEBUFFER_H

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace knapweedloft::link {

/// Cuts a stream of bytes into frames: a 4-byte little-endian length, then
/// that many bytes. Holds at most one frame and what one read brought.
///
/// \code
///   auto Room = Buffer.room();
///   Buffer.commit(read(Fd, Room.data(), Room.size()));
///   while (Buffer.next(Frame) == FrameBuffer::Result::Frame)
///     use(Frame);
/// \endcode
class FrameBuffer {
public:
  enum class Result : std::uint8_t { Frame, NeedMore, Oversize };

  static constexpr std::size_t PrefixBytes = 4;
  /// A read begins with the least space and doubles it while reads fill it, so
  /// that thousands of idle links cost little memory.
  static constexpr std::size_t MinReadBytes = std::size_t{2} * 1024;
  static constexpr std::size_t MaxReadBytes = std::size_t{64} * 1024;

  explicit FrameBuffer(std::size_t MaxFrameBytes)
      : m_MaxFrameBytes(MaxFrameBytes) {}

  /// Limits the frames from here on.
  void setMaxFrameBytes(std::size_t Bytes) { m_MaxFrameBytes = Bytes; }

  /// \returns space to read into. Frames handed out before are no longer
  /// valid.
  std::span<std::uint8_t> room();

  /// Takes over \p Bytes that were written into room().
  void commit(std::size_t Bytes);

  /// Hands out the next whole frame without its prefix; it starts at an
  /// address that is a multiple of 8, as the FlatBuffers verifier wants.
  Result next(std::span<const std::uint8_t> &Frame);

  /// \returns the bytes of the frame that is not whole yet.
  [[nodiscard]] std::size_t heldBytes() const { return m_End - m_Begin; }

private:
  std::size_t m_MaxFrameBytes;
  std::size_t m_ReadBytes = MinReadBytes;
  std::vector<std::uint8_t> m_Bytes;
  std::size_t m_Begin = 0;
  std::size_t m_End = 0;
  std::vector<std::uint64_t> m_Aligned;
};

} // namespace knapweedloft::link

#endif // KNAPWEEDLOFT_LINK_FRAMEBUFFER_H
