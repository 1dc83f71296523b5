#ifndef KNAPWEEDLOFT_SOAK_SOAKVM_H
#define KNAPWEEDLOFT_SOAK_SOAKVM_H

#include "harness/Process.h"
#include "soak/LoopProxy.h"
#include "soak/PromiseChecker.h"
#include "soak/SoakOptions.h"
#include "soak/SoakTarget.h"
#include "standins/DaemonConfig.h"
#include "standins/StoreServer.h"

#include "absl/time/time.h"

#include <memory>
#include <optional>
#include <string>

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

  void startDaemon(absl::Time Now);
  /// Sends SIGTERM: a planned stop.
  void beginStop(absl::Time Now);
  void kill(absl::Time Now);
  void signalDaemon(int Signal) const;
  /// \returns the exit code of a daemon that has ended, once for each end.
  std::optional<int> reapDaemon(absl::Time Now);

  [[nodiscard]] bool isRunning() const { return m_Process != nullptr; }
  /// \returns when its planned stop began; infinitely far ahead if it did not.
  [[nodiscard]] absl::Time stopBegan() const { return m_StopBegan; }
  [[nodiscard]] bool isStopping() const {
    return m_StopBegan != absl::InfiniteFuture();
  }
  /// Requests are owed an answer if all between the two times was calm.
  [[nodiscard]] bool wasCalm(absl::Time From, absl::Time To) const;
  /// Nothing is owed from now until \p Until.
  void disturb(absl::Time Now, absl::Time Until);
  [[nodiscard]] absl::Time startedAt() const { return m_StartedAt; }
  [[nodiscard]] absl::Time calmSince() const { return m_CalmFrom; }

  [[nodiscard]] const std::string &name() const { return m_Place.m_Name; }
  [[nodiscard]] const model::Endpoint &callers() const {
    return m_Place.m_Callers;
  }

  SoakTarget &target() { return *m_Target; }
  LoopProxy &targetProxy() { return *m_TargetProxy; }
  LoopProxy &storeProxy() { return *m_StoreProxy; }
  standins::StoreServer &store() { return *m_Store; }

private:
  SoakOptions m_Settings;
  standins::DaemonConfig m_Place;
  std::unique_ptr<harness::Process> m_Process;
  absl::Time m_StopBegan = absl::InfiniteFuture();
  absl::Time m_StartedAt = absl::InfinitePast();
  absl::Time m_DisturbedFrom = absl::InfinitePast();
  absl::Time m_CalmFrom = absl::InfinitePast();
  std::unique_ptr<standins::StoreServer> m_Store;
  std::unique_ptr<LoopProxy> m_StoreProxy;
  std::unique_ptr<SoakTarget> m_Target;
  std::unique_ptr<LoopProxy> m_TargetProxy;
};

} // namespace knapweedloft::soak

#endif // KNAPWEEDLOFT_SOAK_SOAKVM_H
