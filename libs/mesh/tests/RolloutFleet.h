#ifndef KNAPWEEDLOFT_MESH_TESTS_ROLLOUTFLEET_H
#define KNAPWEEDLOFT_MESH_TESTS_ROLLOUTFLEET_H

#include "RolloutStore.h"
#include "mesh/EntryPath.h"
#include "mesh/Rollouts.h"
#include "mesh/TargetPath.h"
#include "telemetry/EventLog.h"

#include "absl/time/clock.h"
#include "absl/time/time.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace knapweedloft::mesh::testing {

/// The daemons of one service in virtual time, while versions are rolled out:
/// the real entry sides, target sides and deciders, with stand-ins for targets,
/// links, callers and the store.
///
/// The first daemons are beside targets of the version "v1"; those of "v2"
/// begin to report when it is ordered. Plays with the same seed are alike.
class RolloutFleet {
public:
  /// What is wrong with "v2".
  struct Fault {
    double m_FailureShare = 0;
    double m_SlowFactor = 1;
    absl::Duration m_After = absl::ZeroDuration(); ///< The order.
    std::string m_PathPrefix = "/"; ///< Of the requests that meet it.
  };

  struct Options {
    std::size_t m_Former = 2;
    std::size_t m_New = 1;
    std::uint64_t m_Seed = 1;
    double m_PerSecond = 200; ///< Requests of callers.
    absl::Duration m_Run = absl::Milliseconds(60);
    absl::Duration m_Duration = absl::Seconds(16);
    std::uint32_t m_Slots = 20;
    Fault m_Fault;
  };

  explicit RolloutFleet(const Options &Settings);
  ~RolloutFleet();

  [[nodiscard]] absl::Time now() const { return m_Now; }
  [[nodiscard]] std::size_t size() const { return m_Daemons.size(); }
  [[nodiscard]] RolloutStore &store() { return m_Store; }
  void run(absl::Duration For);

  /// The operator orders a roll-out.
  void order(const std::string &Version = "v2");
  void removeOrder();
  /// A daemon is killed and starts again, without what it knew.
  void restart(std::size_t Index, absl::Duration After = absl::Seconds(1));
  void restartAll();
  /// A daemon, not its target, stands still.
  void pause(std::size_t Index, absl::Duration For);
  void cut(std::size_t Index, bool IsCut);
  /// The store comes back without its last \p Records.
  void restoreStore(std::size_t Records);

  /// \returns the daemon that decides; size(): none.
  [[nodiscard]] std::size_t decider() const;
  [[nodiscard]] std::size_t deciders() const;
  [[nodiscard]] policy::RolloutPhase phaseAt(std::size_t Index) const;
  /// \returns the requests that reached targets of a version since the order,
  /// until its deadline.
  [[nodiscard]] std::size_t arrivals(const std::string &Version) const;
  /// \returns the requests that reached targets of a version after \p From.
  [[nodiscard]] std::size_t arrivalsAfter(const std::string &Version,
                                          absl::Time From) const;
  /// \returns the time of the 50th bad answer of "v2".
  [[nodiscard]] absl::Time fiftiethBadAnswer() const;
  [[nodiscard]] absl::Time orderedAt() const { return m_OrderedAt; }
  [[nodiscard]] absl::Time deadline() const {
    return m_OrderedAt + m_Settings.m_Duration;
  }
  [[nodiscard]] std::size_t answered(int Status) const;
  /// The log, for a test that failed.
  [[nodiscard]] const std::string &log() {
    m_Log.flush(absl::Now());
    return m_LogText;
  }

private:
  struct Arrival {
    absl::Time m_At;
    std::string m_Version;
  };

  struct Daemon {
    model::Member m_Self;
    std::string m_Version;
    std::unique_ptr<Rollouts> m_Rollouts;
    std::unique_ptr<TargetPath> m_Target;
    std::unique_ptr<EntryPath> m_Entry;
    std::vector<PeerTarget> m_Targets; ///< As each other daemon last told.
    std::map<http::LoopClient::CallId, http::LoopClient::Done> m_Running;
    std::uint64_t m_Life = 0;
    std::uint64_t m_Reports = 0;
    bool m_IsUp = true;
    absl::Time m_PausedUntil = absl::InfinitePast();
  };

  void at(absl::Time When, std::function<void()> Task);
  /// Runs \p Task later unless the daemon ended before; waits while it is
  /// paused.
  void later(std::size_t Index, absl::Duration After,
             std::function<void()> Task);
  void runIn(std::size_t Index, std::uint64_t Life,
             const std::function<void()> &Task);
  void deliver(std::size_t From, std::size_t To, std::function<void()> Task);
  [[nodiscard]] bool isLinked(std::size_t From, std::size_t To) const;
  void start(std::size_t Index);
  void end(std::size_t Index);
  void makeRollouts(std::size_t Index);
  void makeTarget(std::size_t Index);
  void makeEntry(std::size_t Index);
  void readOrders(std::size_t Index);
  void giveOrder(std::size_t Index);
  void tick(std::size_t Index);
  void report(std::size_t Index);
  void publish(std::size_t Index);
  void setLinked(std::size_t Left, std::size_t Right, bool IsLinked);
  [[nodiscard]] std::vector<RolloutPeer> peersOf(std::size_t Index) const;
  http::LoopClient::CallId callTarget(std::size_t Index,
                                      const http::LoopClient::Call &Call,
                                      http::LoopClient::Done OnDone);
  void answer(std::size_t Index, http::LoopClient::CallId Id, int Status,
              bool IsBad);
  void call();
  [[nodiscard]] bool isReporting(std::size_t Index) const;

  Options m_Settings;
  absl::Time m_Now = absl::FromUnixSeconds(1'000'000);
  std::multimap<absl::Time, std::function<void()>> m_Events;
  std::string m_LogText;
  telemetry::EventLog m_Log;
  std::mt19937_64 m_Random;
  RolloutStore m_Store;
  std::vector<Daemon> m_Daemons;
  std::set<std::pair<std::size_t, std::size_t>> m_Cut;
  std::vector<std::pair<RolloutOrder, StoredRecord>> m_Orders;
  absl::Time m_OrderedAt = absl::InfiniteFuture();
  std::vector<Arrival> m_Arrivals;
  std::vector<absl::Time> m_BadAnswers;
  std::map<int, std::size_t> m_Answers;
  std::uint64_t m_LastExchange = 0;
  http::LoopClient::CallId m_LastCall = 0;
};

} // namespace knapweedloft::mesh::testing

#endif // KNAPWEEDLOFT_MESH_TESTS_ROLLOUTFLEET_H
