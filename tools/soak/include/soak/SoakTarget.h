#ifndef KNAPWEEDLOFT_SOAK_SOAKTARGET_H
#define KNAPWEEDLOFT_SOAK_SOAKTARGET_H

#include "http/LoopClient.h"
#include "http/LoopServer.h"
#include "io/EventLoop.h"
#include "mesh/HeaderNames.h"
#include "mesh/TargetReport.h"
#include "soak/PromiseChecker.h"

#include "absl/container/flat_hash_map.h"

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>

namespace knapweedloft::soak {

/// Requests for paths that begin so crash every target that runs them.
inline constexpr std::string_view CrashingPathPrefix = "/reads/crash-";

/// A target by the users' page: runs so many requests at once, queues a few,
/// says what it did not run, reports to the daemon beside it, crashes and comes
/// back as another instance. Belongs to the thread of the loop.
class SoakTarget {
public:
  struct Options {
    std::string m_Name;
    std::string m_Service;
    model::Endpoint m_At;       ///< Where it listens.
    model::Endpoint m_Reported; ///< Where the daemon reaches it.
    model::Endpoint m_Control;  ///< Where it reports.
    mesh::HeaderNames m_HeaderNames;
    std::uint32_t m_Slots = 8;
    std::size_t m_Queue = 16;
    absl::Duration m_MeanRun = absl::Milliseconds(60);
    double m_FailurePart = 0.01; ///< Of its runs.
    std::uint64_t m_Seed = 1;
    /// \returns whether the daemon beside ran undisturbed between two times.
    std::function<bool(absl::Time From, absl::Time To)> m_IsDaemonCalm;
  };

  SoakTarget(io::EventLoop &Loop, Options Settings, PromiseChecker &Checker);
  ~SoakTarget();

  /// Begins as a new instance; does nothing if it runs.
  void start();
  /// Breaks everything off.
  void crash();
  /// Says that it leaves, serves a little longer and ends.
  void leave();
  /// Says so in its answers only.
  void sayLeaving();
  /// Names a rate limit in its answers; 0: none.
  void nameLimit(double PerSecond);
  [[nodiscard]] bool isUp() const { return m_Server != nullptr; }

private:
  struct Work {
    http::ExchangeId m_Id;
    http::ParsedMessage m_Request;
    std::string m_CallId;
    absl::Time m_Deadline;
  };

  void onRequest(http::ExchangeId Id, http::ParsedMessage Request);
  void onGone(http::ExchangeId Id);
  void refuse(http::ExchangeId Id, int Status);
  void run(const Work &Next);
  void finish(http::ExchangeId Id);
  /// Holds what the daemon sent at \p Sent against what its answers say.
  void checkWords(const std::string &CallId, absl::Time Sent);
  void addWords(http::HttpResponse &Answer, absl::Time Now);
  void report(std::uint64_t Life, mesh::TargetCondition Condition);
  void later(std::uint64_t Life, absl::Duration After,
             std::function<void()> Task);
  [[nodiscard]] mesh::TargetReport self(mesh::TargetCondition Condition);

  io::EventLoop &m_Loop;
  Options m_Settings;
  PromiseChecker &m_Checker;
  std::mt19937_64 m_Random;
  http::LoopClient m_Reports;
  std::unique_ptr<http::LoopServer> m_Server;
  std::uint64_t m_Life = 0; ///< Counts its instances.
  std::uint64_t m_Sequence = 0;
  std::string m_Instance;
  absl::Time m_LeavesAt = absl::InfiniteFuture(); ///< Nothing comes after.
  bool m_IsLeaving = false;
  bool m_SaysLeaving = false;
  double m_RateLimit = 0; ///< That it names; 0: none.
  /// When the first answer said so.
  absl::Time m_SaidLeavingAt = absl::InfiniteFuture();
  absl::Time m_LimitNamedAt = absl::InfiniteFuture();
  std::deque<absl::Time> m_Limited; ///< When the last ones were sent; sorted.
  absl::flat_hash_map<http::ExchangeId, Work> m_Running;
  std::deque<Work> m_Waiting;
  std::shared_ptr<bool> m_IsAlive = std::make_shared<bool>(true);
};

} // namespace knapweedloft::soak

#endif // KNAPWEEDLOFT_SOAK_SOAKTARGET_H
