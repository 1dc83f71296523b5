#ifndef KNAPWEEDLOFT_SOAK_SOAK_H
#define KNAPWEEDLOFT_SOAK_SOAK_H

#include "http/LoopClient.h"
#include "mesh/Catalog.h"
#include "mesh/HeaderNames.h"
#include "soak/FaultKind.h"
#include "soak/PromiseChecker.h"
#include "soak/SoakOptions.h"
#include "soak/SoakVm.h"
#include "standins/StoreLog.h"

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace knapweedloft::soak {

/// Runs daemons as processes among stand-ins, disturbs them from outside by a
/// seed, and holds what callers and targets see against the promises.
///
/// \code
///   Soak Run(Options, [](const std::string &Line) { puts(Line.c_str()); });
///   SoakFigures Seen = Run.run();
/// \endcode
class Soak {
public:
  struct Figures {
    std::uint64_t m_Sent = 0;
    std::uint64_t m_Answered = 0;
    std::uint64_t m_Succeeded = 0;
    std::uint64_t m_Runs = 0;
    std::uint64_t m_Faults = 0;
    std::uint64_t m_Breaches = 0;
    double m_EndPart = 0; ///< Of the last requests, that succeeded.
  };

  Soak(const SoakOptions &Settings,
       std::function<void(const std::string &)> Print);
  ~Soak();

  Figures run();

private:
  struct Asked {
    PromiseChecker::Request m_Request;
    std::size_t m_Vm = 0;
    absl::Time m_Sent;
    absl::Time m_End; ///< Its caller waits no longer.
  };

  // Traffic.cpp
  void callLater(std::size_t Vm);
  void sendOne(std::size_t Vm);
  void send(Asked Next, const std::string &Method, const std::string &Path,
            const std::string &Key);
  void onResult(const Asked &Of, const http::HttpResult &Result,
                absl::Time Now);
  void probe();
  void configure(absl::Time Now);
  void writeCatalog();
  /// Keeps a copy of the store from time to time, for restoreStore().
  void copyStore();
  void restoreStore();

  // Faults.cpp
  void faultLater();
  void inject(FaultKind Kind, std::size_t Vm, absl::Time Now);
  void injectAtDaemon(FaultKind Kind, SoakVm &At, absl::Duration For,
                      absl::Time Now);
  void injectAtTarget(FaultKind Kind, SoakVm &At, absl::Duration For);
  void injectAtStore(FaultKind Kind, SoakVm &At, absl::Duration For);
  void heal();
  void watch();
  void onEnded(SoakVm &At, int Code);
  void later(absl::Duration After, std::function<void()> Task);
  [[nodiscard]] double draw(double From, double To);
  [[nodiscard]] absl::Duration drawTime(double From, double To);
  void tell(const std::string &Line);

  SoakOptions m_Settings;
  std::function<void(const std::string &)> m_Print;
  std::mt19937_64 m_Random;
  io::EventLoop m_Loop;
  absl::Time m_Started;
  PromiseChecker m_Checker;
  standins::StoreLog m_Store{{}};
  mesh::HeaderNames m_Names;
  mesh::Catalog m_Catalog;
  absl::Time m_ConfiguredAt;
  http::LoopClient m_Callers;
  std::vector<std::unique_ptr<SoakVm>> m_Vms;
  std::uint64_t m_LastCall = 0;
  std::uint64_t m_Faults = 0;
  bool m_IsHot = false;  ///< The customer with a rate asks for more.
  bool m_IsCalm = false; ///< No more faults.
  absl::Time m_CountsFrom = absl::InfiniteFuture();
  std::uint64_t m_EndSent = 0;
  std::uint64_t m_EndSucceeded = 0;
};

} // namespace knapweedloft::soak

#endif // KNAPWEEDLOFT_SOAK_SOAK_H
