#include "WriteBuffer.h"

#include <cerrno>
#include <sys/socket.h>

namespace knapweedloft::http {
namespace {

/// A buffer that was larger gives its memory back once it is empty.
constexpr std::size_t KeptBytes = 16 << 10;

} // namespace

WriteBuffer::Result WriteBuffer::flush(int Socket) {
  while (m_Written < m_Bytes.size()) {
    ssize_t Taken =
        ::send(Socket, m_Bytes.data() + m_Written, m_Bytes.size() - m_Written,
               MSG_NOSIGNAL | MSG_DONTWAIT);
    if (Taken < 0 && errno == EINTR)
      continue;
    if (Taken < 0)
      return errno == EAGAIN ? Result::Blocked : Result::Broken;
    m_Written += static_cast<std::size_t>(Taken);
    m_TotalWritten += static_cast<std::size_t>(Taken);
  }
  m_Written = 0;
  if (m_Bytes.capacity() > KeptBytes)
    m_Bytes = {};
  else
    m_Bytes.clear();
  return Result::Empty;
}

} // namespace knapweedloft::http
