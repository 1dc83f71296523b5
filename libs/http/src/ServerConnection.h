#ifndef KNAPWEEDLOFT_HTTP_SERVERCONNECTION_H
#define KNAPWEEDLOFT_HTTP_SERVERCONNECTION_H

#include "WriteBuffer.h"
#include "http/CallerConnectionCounts.h"
#include "http/MessageParser.h"
#include "io/EventLoop.h"
#include "io/FileDescriptor.h"
#include "policy/HeldBytes.h"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <sys/epoll.h>

namespace knapweedloft::http {

/// One accepted connection of a LoopServer.
struct ServerConnection {
  struct Answer {
    int m_Status = 0;
    std::string m_Lines;
    std::string m_Body;

    [[nodiscard]] std::size_t bytes() const {
      return m_Lines.size() + m_Body.size();
    }
  };

  /// A request that was handed over; they are answered in order.
  struct Exchange {
    std::uint64_t m_Sequence = 0;
    bool m_IsHead = false;
    bool m_KeepsOpen = true;
    std::size_t m_RequestBytes = 0; ///< Until it is answered.
    /// Waits for the answers before it. It becomes bytes when it is written:
    /// only then is it known whether it is the last of its connection.
    std::optional<Answer> m_Answer;
  };

  std::uint64_t m_Id = 0;
  io::FileDescriptor m_Socket;
  io::EventLoop::WatchId m_Watch = 0;
  std::string m_From; ///< The peer's IP number.
  MessageParser m_Parser;
  WriteBuffer m_Output;
  std::deque<Exchange> m_Exchanges;
  std::uint64_t m_LastSequence = 0;
  std::uint32_t m_Events = 0;
  /// When the last answer was written or it was opened.
  absl::Time m_LastActive;
  /// When the last request began that was read, whole or not.
  absl::Time m_MessageSince = absl::InfinitePast();
  absl::Time m_LastRead; ///< When its last bytes were read.
  /// Since when the server reads; before that its caller could not be late.
  absl::Time m_ReadsSince;
  absl::Time m_LastWritten;
  bool m_ClosesAfterWrite = false;
  /// Why the server ends it; set before the last answer is written.
  std::optional<CallerConnectionEnd> m_EndsBy;
  bool m_StopsReading = false;    ///< Nothing that follows is looked at.
  std::size_t m_HeldBytes = 0;    ///< Of requests that are not handed over.
  std::size_t m_WaitingBytes = 0; ///< Of answers that wait for others.
  std::size_t m_RequestBytes = 0; ///< Of requests that were handed over.
  policy::HeldBytes m_Share;      ///< Of the memory budget.
  std::size_t m_DroppedBytes = 0; ///< Read since m_StopsReading.
  /// All is written; it waits for the peer to close.
  absl::Time m_LingersSince = absl::InfiniteFuture();

  [[nodiscard]] bool isRead() const { return (m_Events & EPOLLIN) != 0; }

  /// \returns the bytes of answers that the peer has not read.
  [[nodiscard]] std::size_t unreadBytes() const {
    return m_Output.held() + m_WaitingBytes;
  }
};

} // namespace knapweedloft::http

#endif // KNAPWEEDLOFT_HTTP_SERVERCONNECTION_H
