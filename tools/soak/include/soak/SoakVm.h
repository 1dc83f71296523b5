#ifndef KNAPWEEDLOFT_SOAK_SOAKVM_H
#define KNAPWEEDLOFT_SOAK_SOAKVM_H

#include "soak/LoopProxy.h"
#include "soak/PromiseChecker.h"
#include "soak/SoakOptions.h"
#include "soak/SoakTarget.h"
#include "standins/StoreDoor.h"

#include "absl/time/time.h"

#include <memory>
#include <string>
#include <sys/types.h>

namespace knapweedloft::soak {

/// One VM of a soak: the daemon as a process of its own, its target, and
/// proxies between the daemon and its target and store. Belongs to the thread
/// of the loop.
class SoakVm {
public:
  /// \p Index counts from 1 and gives the VM its loopback address.
  SoakVm(io::EventLoop &Loop, const SoakOptions &Settings, std::size_t Index,
         const std::string &Service, standins::StoreLog &Store,
         PromiseChecker &Checker);
  ~SoakVm();
  SoakVm(const SoakVm &) = delete;
  SoakVm &operator=(const SoakVm &) = delete;

  void startDaemon(absl::Time Now);
  void signalDaemon(int Signal) const;
  /// Notes a daemon that has ended. \returns true once for each end.
  bool reapDaemon(absl::Time Now);

  [[nodiscard]] bool isRunning() const { return m_Process > 0; }
  /// Requests are owed an answer if all between the two times was calm.
  [[nodiscard]] bool wasCalm(absl::Time From, absl::Time To) const;
  /// Nothing is owed from now until \p Until.
  void disturb(absl::Time Now, absl::Time Until);
  [[nodiscard]] absl::Time startedAt() const { return m_StartedAt; }
  [[nodiscard]] absl::Time calmSince() const { return m_CalmFrom; }

  [[nodiscard]] const std::string &name() const { return m_Name; }
  [[nodiscard]] const std::string &service() const { return m_Service; }
  [[nodiscard]] model::Endpoint callers() const { return at(CallersPort); }
  [[nodiscard]] int exitCode() const { return m_ExitCode; }

  SoakTarget &target() { return *m_Target; }
  LoopProxy &targetProxy() { return *m_TargetProxy; }
  LoopProxy &storeProxy() { return *m_StoreProxy; }
  standins::StoreDoor &store() { return *m_Store; }

  absl::Time m_StopBegan = absl::InfiniteFuture(); ///< SIGTERM was sent.

private:
  static constexpr std::uint16_t CallersPort = 7001;

  [[nodiscard]] model::Endpoint at(std::uint16_t Port) const {
    return {m_Address, Port};
  }
  void writeSettings() const;

  SoakOptions m_Settings;
  std::string m_Name;
  std::string m_Service;
  std::string m_Address;
  std::string m_SettingsPath;
  pid_t m_Process = -1;
  int m_ExitCode = 0;
  bool m_WasStarted = false;
  absl::Time m_StartedAt = absl::InfinitePast();
  absl::Time m_DisturbedFrom = absl::InfinitePast();
  absl::Time m_CalmFrom = absl::InfinitePast();
  std::unique_ptr<standins::StoreDoor> m_Store;
  std::unique_ptr<LoopProxy> m_StoreProxy;
  std::unique_ptr<SoakTarget> m_Target;
  std::unique_ptr<LoopProxy> m_TargetProxy;
};

} // namespace knapweedloft::soak

#endif // KNAPWEEDLOFT_SOAK_SOAKVM_H
