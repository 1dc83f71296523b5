#ifndef KNAPWEEDLOFT_HTTP_LOOPCLIENTIMPL_H
#define KNAPWEEDLOFT_HTTP_LOOPCLIENTIMPL_H

#include "ClientConnection.h"
#include "http/LoopClient.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"

#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace knapweedloft::http {

class LoopClient::Impl {
public:
  Impl(io::EventLoop &Loop, Options Settings);
  ~Impl();

  CallId send(Call Next, Done OnDone);
  void cancel(CallId Id);

  [[nodiscard]] const ConnectionCounts &counts() const { return m_Counts; }

private:
  struct ActiveCall {
    Call m_Call;
    Done m_OnDone;
    absl::Time m_Started;
    absl::Time m_Due; ///< Its time is over.
    std::uint64_t m_Connection = 0;
  };

  void begin(CallId Id);
  [[nodiscard]] ClientConnection *takeIdle(const Call &Next, absl::Time Now);
  [[nodiscard]] ClientConnection *open(const Call &Next);
  void onReady(std::uint64_t Id, std::uint32_t Events);
  void onConnected(ClientConnection &Held);
  void write(ClientConnection &Held);
  void read(std::uint64_t Id);
  void onEnd(ClientConnection &Held, bool IsOrderly);
  void takeAnswers(std::uint64_t Id);
  void accept(ClientConnection &Held, ParsedMessage Message);
  [[nodiscard]] bool isOwn(const ClientConnection &Held,
                           const HttpResponse &Response, const Call &Waiting);
  /// \returns whether a copy of an answer on this connection could pass for the
  /// answer to the next call: its address has not named any call yet.
  [[nodiscard]] bool mayBeMistaken(const ClientConnection &Held) const;
  /// Counts one more answer that the call does not wait for.
  void skip(ClientConnection &Held);
  void countHeld(ClientConnection &Held, std::size_t Bytes);
  void limitHeld();
  /// \returns whether nothing of its call's request was written.
  [[nodiscard]] bool isUnsent(const ClientConnection &Held) const;
  void breakOff(ClientConnection &Held);
  void keep(ClientConnection &Held, const HttpResponse &Last, absl::Time Now);
  void setEvents(ClientConnection &Held, std::uint32_t Events);
  void close(std::uint64_t Id, ConnectionEnd Why);
  void finish(CallId Id, HttpResult Result);
  void scheduleSweep(absl::Time Due);
  void sweep();
  [[nodiscard]] ClientConnection *find(std::uint64_t Id);

  io::EventLoop &m_Loop;
  Options m_Settings;
  CallId m_LastCall = 0;
  std::uint64_t m_LastConnection = 0;
  ConnectionCounts m_Counts;
  std::size_t m_HeldBytes = 0; ///< Over all connections.
  std::vector<char> m_ReadBuffer;
  absl::flat_hash_map<CallId, ActiveCall> m_Calls;
  absl::flat_hash_map<std::uint64_t, std::unique_ptr<ClientConnection>>
      m_Connections;
  /// Idle connections by address, the one used last at the back.
  absl::flat_hash_map<std::string, std::vector<std::uint64_t>> m_Idle;
  /// Addresses whose answers have named a call.
  absl::flat_hash_set<std::string> m_NamesCalls;
  std::set<std::pair<absl::Time, CallId>> m_Dues;
  absl::Time m_NextSweep = absl::InfiniteFuture();
  std::shared_ptr<bool> m_IsAlive = std::make_shared<bool>(true);
};

} // namespace knapweedloft::http

#endif // KNAPWEEDLOFT_HTTP_LOOPCLIENTIMPL_H
