#ifndef KNAPWEEDLOFT_SOAK_LOOPPROXY_H
#define KNAPWEEDLOFT_SOAK_LOOPPROXY_H

#include "io/Acceptor.h"
#include "io/EventLoop.h"
#include "io/FileDescriptor.h"
#include "model/Endpoint.h"
#include "soak/ProxyMode.h"

#include "absl/container/flat_hash_map.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace knapweedloft::soak {

/// A TCP proxy on loopback that disturbs what goes through it. Belongs to the
/// thread of the loop.
///
/// \code
///   LoopProxy Proxy(Loop, {"127.0.0.2", 80}, {"127.0.0.2", 81});
///   Proxy.setMode(ProxyMode::Delay);
///   Proxy.resetAll();
/// \endcode
class LoopProxy {
public:
  /// Gets what a client sent, also what is kept.
  std::function<void(std::string_view Bytes)> m_OnClientBytes;

  LoopProxy(io::EventLoop &Loop, const model::Endpoint &At,
            const model::Endpoint &To);
  ~LoopProxy();

  /// What was kept goes on when the mode allows it.
  void setMode(ProxyMode Next);
  /// Breaks all connections with a reset.
  void resetAll();

private:
  using PairId = std::uint64_t;

  /// One direction of a connection.
  struct Stream {
    io::FileDescriptor m_From;
    std::string m_Bytes; ///< Read, but not written to the other end yet.
    bool m_HasEnded = false;
    bool m_IsClosed = false; ///< The end was passed on.
    io::EventLoop::WatchId m_Watch = 0;
  };

  /// A connection: [0] comes from the client, [1] from the server.
  struct Pair {
    Stream m_Streams[2];
  };

  void onAccepted(io::FileDescriptor Client);
  void onReady(PairId Id, int Side, std::uint32_t Events);
  void readFrom(PairId Id, int Side);
  void flushLater(PairId Id);
  void flush(PairId Id);
  [[nodiscard]] bool isHeld(int Side) const;
  void close(PairId Id, bool IsReset);

  io::EventLoop &m_Loop;
  model::Endpoint m_To;
  ProxyMode m_Mode = ProxyMode::Pass;
  PairId m_LastId = 0;
  absl::flat_hash_map<PairId, std::unique_ptr<Pair>> m_Pairs;
  std::shared_ptr<bool> m_IsAlive = std::make_shared<bool>(true);
  io::Acceptor m_Acceptor;
};

} // namespace knapweedloft::soak

#endif // KNAPWEEDLOFT_SOAK_LOOPPROXY_H
