#include "WriteBuffer.h"

#include <cerrno>
#include <sys/socket.h>
#include <utility>

namespace knapweedloft::http {
namespace {

/// Short answers go out together.
constexpr std::size_t PieceBytes = 16 << 10;

} // namespace

void WriteBuffer::append(std::string Bytes) {
  if (Bytes.empty())
    return;
  m_Left += Bytes.size();
  if (!m_Pieces.empty() && m_Pieces.back().size() + Bytes.size() <= PieceBytes)
    m_Pieces.back().append(Bytes);
  else
    m_Pieces.push_back(std::move(Bytes));
}

WriteBuffer::Result WriteBuffer::flush(int Socket) {
  while (!m_Pieces.empty()) {
    const std::string &First = m_Pieces.front();
    ssize_t Taken =
        ::send(Socket, First.data() + m_Written, First.size() - m_Written,
               MSG_NOSIGNAL | MSG_DONTWAIT);
    if (Taken < 0 && errno == EINTR)
      continue;
    if (Taken < 0 && errno == EAGAIN)
      return Result::Blocked;
    // A reset is EPIPE only behind an orderly end, else ECONNRESET.
    if (Taken < 0)
      return errno == EPIPE ? Result::Ended : Result::Broken;
    auto Bytes = static_cast<std::size_t>(Taken);
    m_Written += Bytes;
    m_Left -= Bytes;
    m_TotalWritten += Bytes;
    if (m_Written == First.size()) {
      m_Pieces.pop_front();
      m_Written = 0;
    }
  }
  return Result::Empty;
}

} // namespace knapweedloft::http
