#include "SendQueue.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <sys/socket.h>
#include <sys/uio.h>

namespace knapweedloft::link {
namespace {

constexpr std::size_t MaxFramesAWrite = 64;

} // namespace

SendQueue::Push SendQueue::push(std::string Frame) {
  absl::MutexLock Lock(&m_Mutex);
  if (m_IsClosed || m_Bytes + Frame.size() > m_MaxBytes)
    return Push::Refused;
  m_Bytes += Frame.size();
  m_Pushed.push_back(std::move(Frame));
  if (m_IsFlushDue)
    return Push::Queued;
  m_IsFlushDue = true;
  return Push::FlushDue;
}

void SendQueue::close() {
  absl::MutexLock Lock(&m_Mutex);
  m_IsClosed = true;
}

std::size_t SendQueue::bytes() const {
  absl::MutexLock Lock(&m_Mutex);
  return m_Bytes;
}

SendQueue::Flush SendQueue::flush(int Socket) {
  takePushed();
  while (!m_Writing.empty()) {
    std::array<iovec, MaxFramesAWrite> Parts;
    std::size_t Count = std::min(m_Writing.size(), Parts.size());
    for (std::size_t Index = 0; Index < Count; ++Index) {
      std::size_t Skip = Index == 0 ? m_FrontWritten : 0;
      std::string &Frame = m_Writing[Index];
      Parts[Index] = {Frame.data() + Skip, Frame.size() - Skip};
    }
    msghdr Message{};
    Message.msg_iov = Parts.data();
    Message.msg_iovlen = Count;
    ssize_t Written = ::sendmsg(Socket, &Message, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (Written < 0 && errno == EINTR)
      continue;
    if (Written < 0)
      return errno == EAGAIN ? Flush::Blocked : Flush::Broken;
    dropWritten(static_cast<std::size_t>(Written));
  }
  return Flush::Empty;
}

void SendQueue::takePushed() {
  absl::MutexLock Lock(&m_Mutex);
  m_IsFlushDue = false;
  for (std::string &Frame : m_Pushed)
    m_Writing.push_back(std::move(Frame));
  m_Pushed.clear();
}

void SendQueue::dropWritten(std::size_t Bytes) {
  {
    absl::MutexLock Lock(&m_Mutex);
    m_Bytes -= Bytes;
  }
  m_FrontWritten += Bytes;
  while (!m_Writing.empty() && m_FrontWritten >= m_Writing.front().size()) {
    m_FrontWritten -= m_Writing.front().size();
    m_Writing.pop_front();
  }
}

} // namespace knapweedloft::link
