#ifndef KNAPWEEDLOFT_HTTP_CLIENTCONNECTION_H
#define KNAPWEEDLOFT_HTTP_CLIENTCONNECTION_H

#include "WriteBuffer.h"
#include "http/MessageParser.h"
#include "io/EventLoop.h"
#include "io/FileDescriptor.h"
#include "model/Endpoint.h"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>

namespace knapweedloft::http {

/// One connection of a LoopClient: busy with a call, or idle.
struct ClientConnection {
  std::uint64_t m_Id = 0;
  model::Endpoint m_To;
  io::FileDescriptor m_Socket;
  io::EventLoop::WatchId m_Watch = 0;
  MessageParser m_Parser;
  WriteBuffer m_Output;
  std::uint64_t m_Call = 0; ///< 0: idle.
  bool m_IsConnecting = true;
  bool m_WasUsed = false; ///< It carried a call before the present one.
  /// A write has met its break, which reading does not show any more.
  bool m_IsBroken = false;
  std::uint32_t m_Events = 0;
  std::size_t m_HeldBytes = 0; ///< Of an answer that is not whole yet.
  std::size_t m_Skipped = 0;   ///< Answers that were not the call's.
  absl::Time m_IdleSince = absl::InfiniteFuture();
  absl::Time m_IdleUntil = absl::InfiniteFuture(); ///< As the server says.
};

} // namespace knapweedloft::http

#endif // KNAPWEEDLOFT_HTTP_CLIENTCONNECTION_H
