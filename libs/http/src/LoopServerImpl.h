#ifndef KNAPWEEDLOFT_HTTP_LOOPSERVERIMPL_H
#define KNAPWEEDLOFT_HTTP_LOOPSERVERIMPL_H

#include "ServerConnection.h"
#include "http/LoopServer.h"
#include "io/Acceptor.h"
#include "io/FileDescriptor.h"

#include "absl/container/flat_hash_map.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace knapweedloft::http {

class LoopServer::Impl {
public:
  Impl(io::EventLoop &Loop, Options Settings);
  ~Impl();

  void answer(ExchangeId Id, int Status, std::string_view Lines,
              std::string_view Body);
  void endOverdue();
  void beginClosing();
  void endIdle();
  [[nodiscard]] bool isIdle() const;
  [[nodiscard]] std::size_t connections() const { return m_Connections.size(); }

  Options m_Settings;
  CallerConnectionCounts m_Counts;
  std::size_t m_Pending = 0;
  std::uint16_t m_Port = 0;

  [[nodiscard]] std::size_t unsentBytes() const;

private:
  // LoopServerMemory.cpp
  void countHeld(ServerConnection &Held, std::size_t Bytes);
  void count(ServerConnection &Held);
  /// Counts a request that was handed over, until it is answered.
  void countRequest(ServerConnection &Held, ServerConnection::Exchange &Of,
                    std::size_t Bytes);
  void limitHeld();
  /// Answers what follows those handed over with \p Status and ends the
  /// connection behind it.
  void refuseRest(ServerConnection &Held, int Status, CallerConnectionEnd Why);
  [[nodiscard]] bool hasRoomFor(std::size_t RequestBytes) const;
  /// \returns whether \p Held is not read because its peer does not read.
  [[nodiscard]] static bool isBehind(const ServerConnection &Held);
  /// Makes room in the budget at the cost of those who hold most.
  void limitAll();

  // LoopServerTimes.cpp
  /// Lets the other sockets of the loop go first after a pause.
  [[nodiscard]] bool waitsForOthers();
  void resume();
  void sweep();
  /// Ends a connection that is overdue, unless what has come saves it.
  void end(std::uint64_t Id, CallerConnectionEnd Why, absl::Time Now);
  /// \returns why the connection has to end by now, if it has.
  [[nodiscard]] std::optional<CallerConnectionEnd>
  overdue(const ServerConnection &Held, absl::Time Now) const;

  // LoopServerImpl.cpp
  void listen();
  void add(io::FileDescriptor Socket, std::string From);
  void onReady(std::uint64_t Id, std::uint32_t Events);
  void read(std::uint64_t Id);
  void takeMessages(std::uint64_t Id);
  void takeMessagesLater(std::uint64_t Id);
  /// Answers without making room for it.
  void write(ExchangeId Id, int Status, std::string_view Lines,
             std::string_view Body);
  void endWriting(ServerConnection &Held, CallerConnectionEnd Why);
  void flush(ServerConnection &Held);
  /// Writes the answer to the first exchange of \p Held and ends it.
  void writeFirst(ServerConnection &Held, int Status, std::string_view Lines,
                  std::string_view Body);
  /// Writes the answers that wait for no other.
  void writeAnswered(ServerConnection &Held);
  void setEvents(ServerConnection &Held);
  void close(std::uint64_t Id, CallerConnectionEnd Why);
  [[nodiscard]] static bool isIdle(const ServerConnection &Held);
  [[nodiscard]] ServerConnection *find(std::uint64_t Id);

  io::EventLoop &m_Loop;
  std::unique_ptr<io::Acceptor> m_Acceptor;
  std::uint64_t m_LastId = 0;
  bool m_IsClosing = false;
  bool m_IsWaiting = false; ///< For the other sockets, after a pause.
  /// Until then requests may have waited unread.
  absl::Time m_MeasuresUntil = absl::InfinitePast();
  std::size_t m_HeldBytes = 0; ///< Over all connections.
  /// Of requests that were handed over, by their size.
  std::size_t m_LargeRequestBytes = 0;
  std::size_t m_SmallRequestBytes = 0;
  std::vector<char> m_ReadBuffer;
  absl::flat_hash_map<std::uint64_t, std::unique_ptr<ServerConnection>>
      m_Connections;
  /// Outlives the server in timers that are left in the loop.
  std::shared_ptr<bool> m_IsAlive = std::make_shared<bool>(true);
};

} // namespace knapweedloft::http

#endif // KNAPWEEDLOFT_HTTP_LOOPSERVERIMPL_H
