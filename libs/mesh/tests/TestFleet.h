#ifndef KNAPWEEDLOFT_MESH_TESTS_TESTFLEET_H
#define KNAPWEEDLOFT_MESH_TESTS_TESTFLEET_H

#include "mesh/EntryPath.h"
#include "mesh/RecordFollower.h"
#include "mesh/RequestQuarantine.h"
#include "mesh/TargetPath.h"
#include "telemetry/EventLog.h"

#include "absl/time/time.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace knapweedloft::mesh::testing {

/// The daemons of a site, each with a target, in virtual time.
///
/// Daemon \c i is in data center \c i modulo 3 and serves service \c i / 3
/// modulo the number of services: "archive", which has the paths "/reads/",
/// then "service-1" with the paths "/service-1/" and so on. A target stand-in
/// crashes once it has begun to run a request whose path is poisonous, and is
/// back some seconds later as a new instance. Links between daemons have a
/// delay and can be cut; the store can be unavailable. Plays with the same seed
/// are alike.
class TestFleet {
public:
  struct Options {
    std::size_t m_Daemons = 3;
    std::size_t m_Services = 1;
    std::uint64_t m_Seed = 1;
    absl::Duration m_LinkDelay = absl::Milliseconds(1);
    /// Added between data centers.
    absl::Duration m_RemoteDelay = absl::ZeroDuration();
    /// From the order to stop until a daemon has ended.
    absl::Duration m_StopTime = absl::Seconds(6);
    /// A daemon that was undisturbed for this long is in touch.
    absl::Duration m_StabilityWindow = absl::Seconds(3);
    absl::Duration m_Run = absl::Milliseconds(60);
    /// From the start of a poisonous request until its target has crashed.
    absl::Duration m_CrashDelay = absl::ZeroDuration();
    absl::Duration m_TargetRestart = absl::Seconds(4);
    std::uint32_t m_Slots = 20;
    policy::RetryBudget::Options m_RetryBudget{.m_Ratio = 0.05,
                                               .m_MaxTokens = 2};
  };

  /// An answer that a caller received.
  struct Answered {
    std::string m_Path;
    int m_Status = 0;
    std::string m_Body;
    absl::Time m_At;
  };

  /// A request that reached a target.
  struct Arrival {
    absl::Time m_At;
    std::size_t m_Entry = 0; ///< Daemon that received it from its caller.
    bool m_IsEntryInTouch = false;
  };

  explicit TestFleet(const Options &Settings);
  ~TestFleet();

  [[nodiscard]] absl::Time now() const { return m_Now; }
  [[nodiscard]] std::size_t size() const { return m_Daemons.size(); }
  /// Advances the virtual time.
  void run(absl::Duration For);
  /// Advances the virtual time without running anything, as over a long calm.
  void skip(absl::Duration For);

  void makePoisonous(const std::string &Path) { m_Poisonous.insert(Path); }
  void cure(const std::string &Path) { m_Poisonous.erase(Path); }
  /// A caller sends a request to daemon \p Index.
  void request(std::size_t Index, const std::string &Path);

  void crashTarget(std::size_t Index);
  /// The connections of a target that lives on are reset.
  void resetConnections(std::size_t Index);
  /// The target reports that it leaves, and ends a second later with the
  /// requests it still has.
  void drainTarget(std::size_t Index);
  /// Daemons are killed at once and start again without what they knew.
  void restartDaemons(const std::vector<std::size_t> &Indices);
  /// A daemon is told to stop, ends and starts again.
  void stopDaemon(std::size_t Index);
  /// Cuts the links between daemons for which \p IsCut holds.
  void cutLinks(const std::function<bool(std::size_t, std::size_t)> &IsCut);
  void healLinks();
  void setStoreAvailable(bool IsAvailable);
  /// The store comes back without its last \p Records.
  void restoreStore(std::size_t Records);
  /// The target names the rate limit \p Text in its answers; empty: none.
  void nameRateLimit(std::size_t Index, const std::string &Text);
  /// The target says in its answers that it leaves, and reports nothing of it.
  void sayLeaving(std::size_t Index);
  /// The target ends and another instance takes its place at once, under the
  /// same id if \p KeepsId.
  void replaceTarget(std::size_t Index, bool KeepsId = false);

  [[nodiscard]] const std::vector<Arrival> &arrivals(const std::string &Path) {
    return m_Arrivals[Path];
  }
  /// Times at which a request crashed a target.
  [[nodiscard]] const std::vector<absl::Time> &
  crashes(const std::string &Path) {
    return m_Crashes[Path];
  }
  /// Arrivals later than \p After the third crash.
  [[nodiscard]] std::size_t arrivalsAfterThirdCrash(const std::string &Path,
                                                    absl::Duration After);
  /// Those of them that entered by daemons in touch.
  [[nodiscard]] std::size_t retriesInTouch(const std::string &Path,
                                           absl::Duration After);
  /// \returns whether a daemon, its links and the store have been undisturbed
  /// for the stability window.
  [[nodiscard]] bool isInTouch(std::size_t Index) const;
  /// \returns the most requests that reached a target within \p Span, after
  /// \p From, by daemons that had passed on its rate limit, or that it leaves,
  /// at least half a second before.
  [[nodiscard]] std::size_t mostFromTold(std::size_t Index, absl::Time From,
                                         absl::Duration Span) const;
  /// \returns the number of requests that reached a target after \p From.
  [[nodiscard]] std::size_t arrivalsAt(std::size_t Index,
                                       absl::Time From) const;
  [[nodiscard]] const std::vector<Answered> &answers() const {
    return m_Answers;
  }
  [[nodiscard]] const RequestQuarantine &quarantine(std::size_t Index) const {
    return *m_Daemons[Index].m_Quarantine;
  }
  [[nodiscard]] RequestQuarantine &quarantine(std::size_t Index) {
    return *m_Daemons[Index].m_Quarantine;
  }
  /// Bytes of evidence that daemons sent to each other.
  [[nodiscard]] std::size_t evidenceBytes() const { return m_EvidenceBytes; }
  /// \returns the number of answers with a status to a path that begins so.
  [[nodiscard]] std::size_t answered(const std::string &PathPrefix,
                                     int Status) const;

private:
  struct TargetCall {
    std::string m_Path;
    std::size_t m_Entry = 0;
    http::LoopClient::Done m_OnDone;
  };

  struct TargetArrival {
    absl::Time m_At;
    bool m_IsTold = false; ///< By an entry side that knew the rate limit.
  };

  struct Daemon {
    model::Member m_Self;
    std::unique_ptr<EntryPath> m_Entry;
    std::unique_ptr<TargetPath> m_Target;
    std::unique_ptr<RequestQuarantine> m_Quarantine;
    std::unique_ptr<RecordFollower> m_Records;
    /// As each other daemon last heard.
    std::vector<PeerTarget> m_Targets;
    std::uint64_t m_Life = 0;
    std::uint64_t m_Instance = 1;
    std::uint64_t m_Reports = 0;
    absl::Time m_DisturbedAt = absl::InfinitePast();
    std::string m_RateLimit; ///< That the target names.
    bool m_SaysLeaving = false;
    std::uint64_t m_InstanceId = 1;
    std::vector<TargetArrival> m_Arrivals; ///< At the target.
    /// Instances whose word on themselves this daemon passed on, and since
    /// when.
    std::map<std::string, absl::Time> m_Told;
    bool m_IsTargetUp = true;
    bool m_IsTargetLeaving = false;
    std::map<http::LoopClient::CallId, TargetCall> m_Running;
  };

  void at(absl::Time When, std::function<void()> Task);
  /// Runs \p Task later unless the daemon was restarted before.
  void later(std::size_t Index, absl::Duration After,
             std::function<void()> Task);
  /// Delivers over the link between two daemons, if it is up all the while.
  void deliver(std::size_t From, std::size_t To, std::function<void()> Task);
  [[nodiscard]] bool isLinked(std::size_t From, std::size_t To) const;
  [[nodiscard]] bool hasCutLink(std::size_t Index) const;
  [[nodiscard]] absl::Duration delayBetween(std::size_t From,
                                            std::size_t To) const;
  void disturb(std::size_t Index) { m_Daemons[Index].m_DisturbedAt = m_Now; }
  void start(std::size_t Index);
  void makeEntry(std::size_t Index);
  void makeTarget(std::size_t Index);
  void makeQuarantine(std::size_t Index);
  void makeRecords(std::size_t Index);
  void sendEvidence(std::size_t From, std::size_t To,
                    const wire::SuspectsT &Message);
  void readStore(std::size_t Index, bool IsPoll, std::uint64_t From,
                 StorePort::OnRead OnRead);
  void writeStore(std::size_t Index, StoredRecord Record,
                  StorePort::OnWritten OnWritten);
  void tick(std::size_t Index);
  void reportTarget(std::size_t Index, TargetCondition Condition);
  void heartbeat(std::size_t Index);
  void publishTarget(std::size_t Index);
  void setLinked(std::size_t Left, std::size_t Right, bool IsLinked);
  http::LoopClient::CallId callTarget(std::size_t Index,
                                      const http::LoopClient::Call &Call,
                                      http::LoopClient::Done OnDone);
  void breakCalls(std::size_t Index);
  void crashLater(std::size_t Index, http::LoopClient::CallId Id,
                  const std::string &Path);
  void noteTold(std::size_t Entry, const std::string &Lines);
  void noteArrival(std::size_t Index, std::size_t Entry,
                   const std::string &Path);
  [[nodiscard]] std::uint64_t lifeOf(std::size_t Index) const {
    return m_Daemons[Index].m_Life;
  }
  [[nodiscard]] std::string instanceOf(std::size_t Index) const;

  Options m_Settings;
  absl::Time m_Now = absl::FromUnixSeconds(1'000'000);
  std::multimap<absl::Time, std::function<void()>> m_Events;
  telemetry::EventLog m_Log{
      {.m_Sink = [](std::string_view Text) { return Text.size(); }}};
  std::vector<Daemon> m_Daemons;
  std::set<std::pair<std::size_t, std::size_t>> m_Cut;
  bool m_IsStoreAvailable = true;
  absl::Time m_StoreDisturbedAt = absl::InfinitePast();
  std::vector<StoredRecord> m_Store;
  std::uint64_t m_StoreEra = 1;
  std::vector<std::function<void()>> m_Polls; ///< That wait for a record.
  std::set<std::string> m_Poisonous;
  std::map<std::string, std::vector<Arrival>> m_Arrivals;
  std::map<std::string, std::vector<absl::Time>> m_Crashes;
  std::map<std::uint64_t, std::string> m_PathByExchange;
  std::map<std::string, std::size_t> m_EntryByCall;
  std::vector<Answered> m_Answers;
  std::mt19937_64 m_Random;
  std::size_t m_EvidenceBytes = 0;
  std::uint64_t m_LastExchange = 0;
  http::LoopClient::CallId m_LastCall = 0;
};

} // namespace knapweedloft::mesh::testing

#endif // KNAPWEEDLOFT_MESH_TESTS_TESTFLEET_H
