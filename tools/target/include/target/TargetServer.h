#ifndef KNAPWEEDLOFT_TARGET_TARGETSERVER_H
#define KNAPWEEDLOFT_TARGET_TARGETSERVER_H

#include "http/HttpClient.h"
#include "http/HttpServer.h"
#include "target/RunLedger.h"
#include "target/TargetOptions.h"
#include "target/WorkSlots.h"

#include <atomic>
#include <cstdint>
#include <memory>

namespace knapweedloft::target {

/// A stand-in target: serves requests over HTTP, keeps a ledger of them and
/// announces itself to its daemon.
class TargetServer {
public:
  explicit TargetServer(TargetOptions Settings);
  TargetServer(const TargetServer &) = delete;
  TargetServer &operator=(const TargetServer &) = delete;

  [[nodiscard]] std::uint16_t port() const { return m_Server.port(); }

  /// Tells the daemon "starting", "ready" or "draining".
  void announce(const std::string &State);

  /// Called when the cold time is over.
  void endColdStart();

private:
  enum class Mode : std::uint8_t { Ok, Fail, Slow, Stop };
  static constexpr model::NameTable<Mode, 4> ModeNames{
      {"ok", "fail", "slow", "stop"}};

  void onRequest(http::HttpExchange Exchange);
  void onControl(http::HttpExchange Exchange);
  void work(http::HttpExchange Exchange);
  void finish(http::HttpExchange Exchange);
  void callNext(http::HttpExchange Exchange);
  [[nodiscard]] absl::Duration workTime() const;
  [[nodiscard]] bool isCrash(const http::HttpRequest &Request) const;

  const TargetOptions m_Settings;
  const std::uint64_t m_Instance;
  std::atomic<Mode> m_Mode = Mode::Ok;
  std::atomic<std::int64_t> m_WorkMicroseconds;
  RunLedger m_Ledger;
  http::HttpClient m_Client;
  WorkSlots m_Slots;
  http::HttpServer m_Server;
};

} // namespace knapweedloft::target

#endif // KNAPWEEDLOFT_TARGET_TARGETSERVER_H
