#ifndef KNAPWEEDLOFT_HTTP_WRITEBUFFER_H
#define KNAPWEEDLOFT_HTTP_WRITEBUFFER_H

#include "model/NameTable.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace knapweedloft::http {

/// Bytes on their way to a non-blocking socket. They are kept in pieces; one
/// that is written is given back.
class WriteBuffer {
public:
  enum class Result : std::uint8_t {
    Empty,
    Blocked,
    Ended, ///< The peer ended the connection in order, and takes nothing more.
    Broken ///< The connection was reset or has timed out.
  };

  void append(std::string Bytes);

  /// Writes as much as the socket takes. The kernel reports the error of a
  /// connection once: after Broken, the socket reads as if it had ended in
  /// order.
  Result flush(int Socket);

  [[nodiscard]] std::size_t left() const { return m_Left; }
  /// \returns the bytes in memory: those left, and those of their first piece
  /// that are written.
  [[nodiscard]] std::size_t held() const { return m_Left + m_Written; }
  /// \returns the bytes that the socket has taken so far.
  [[nodiscard]] std::size_t totalWritten() const { return m_TotalWritten; }

private:
  std::deque<std::string> m_Pieces;
  std::size_t m_Left = 0;
  std::size_t m_Written = 0; ///< Of the first piece.
  std::size_t m_TotalWritten = 0;
};

} // namespace knapweedloft::http

#endif // KNAPWEEDLOFT_HTTP_WRITEBUFFER_H
