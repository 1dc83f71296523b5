#ifndef KNAPWEEDLOFT_HTTP_WRITEBUFFER_H
#define KNAPWEEDLOFT_HTTP_WRITEBUFFER_H

#include "model/NameTable.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace knapweedloft::http {

/// Bytes on their way to a non-blocking socket.
class WriteBuffer {
public:
  enum class Result : std::uint8_t { Empty, Blocked, Broken };

  void append(std::string_view Bytes) { m_Bytes.append(Bytes); }

  /// Writes as much as the socket takes.
  Result flush(int Socket);

  [[nodiscard]] std::size_t left() const { return m_Bytes.size() - m_Written; }
  /// \returns the bytes that the socket has taken so far.
  [[nodiscard]] std::size_t totalWritten() const { return m_TotalWritten; }

private:
  std::string m_Bytes;
  std::size_t m_Written = 0; ///< Of m_Bytes.
  std::size_t m_TotalWritten = 0;
};

} // namespace knapweedloft::http

#endif // KNAPWEEDLOFT_HTTP_WRITEBUFFER_H
