#ifndef KNAPWEEDLOFT_FAKEFLEET_FAKEFLEET_H
#define KNAPWEEDLOFT_FAKEFLEET_FAKEFLEET_H

#include "app/Membership.h"
#include "app/RateService.h"
#include "app/Spread.h"
#include "fakefleet/EventQueue.h"
#include "fakefleet/FakeLog.h"
#include "fakefleet/Traffic.h"
#include "model/Resource.h"
#include "state/Record.h"

#include "absl/time/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace knapweedloft::fakefleet {

class FakeDaemon;

/// Daemons with fake links, clocks and log, in virtual time and one thread.
///
/// \code
///   FakeFleet Fleet({.m_Seed = 7});
///   Fleet.add("a-1", "dc1");
///   Fleet.put(model::Rate{"c", 100, 100});
///   Fleet.run(absl::Seconds(5));
/// \endcode
class FakeFleet {
public:
  struct Options {
    std::uint64_t m_Seed = 1;
    absl::Duration m_LeastLatency = absl::Microseconds(200);
    absl::Duration m_MostLatency = absl::Milliseconds(2);
    /// Share of asks and grants that are lost, and that arrive twice.
    double m_Loss = 0;
    double m_Repeats = 0;
    double m_MaxDrift = 0;  ///< Of a daemon's clock, either way.
    bool m_HasRates = true; ///< Whether daemons run a RateService.
    bool m_CountsBytes = false;
    app::RateService::Options m_Rates = {};
    app::Membership::Options m_Members = {};
    app::Spread::Options m_Spread = {};
  };

  explicit FakeFleet(Options Settings);
  ~FakeFleet();

  void add(const std::string &Name, const std::string &DataCenter);
  /// Stops a daemon at once, without a word.
  void crash(const std::string &Name);
  /// Crashes it and starts it with another incarnation.
  void restart(const std::string &Name);
  /// Nothing happens on the daemon until then; what arrives waits.
  void pause(const std::string &Name, absl::Duration Length);
  /// Drops everything from \p From to \p To, or no longer.
  void cut(const std::string &From, const std::string &To, bool IsCut);
  /// Whether the daemon reaches the log.
  void setLogReach(const std::string &Name, bool IsReached);

  void append(const state::Entry &Entry);
  void put(model::Resource What);
  void remove(model::ResourceKind Kind, const std::string &Name);

  void run(absl::Duration Length);
  [[nodiscard]] absl::Time now() const { return m_Queue.now(); }

  [[nodiscard]] FakeDaemon &daemon(const std::string &Name);
  [[nodiscard]] std::vector<std::string> names() const;
  [[nodiscard]] bool isUp(const std::string &Name) const;
  [[nodiscard]] FakeLog &log() { return m_Log; }
  [[nodiscard]] EventQueue &queue() { return m_Queue; }
  [[nodiscard]] std::mt19937_64 &random() { return m_Random; }
  [[nodiscard]] const Options &options() const { return m_Settings; }
  [[nodiscard]] Traffic &traffic() { return m_Traffic; }

  /// For daemons: sends on the link between two daemons.
  bool send(FakeDaemon &From, const std::string &To,
            link::wire::MessageUnion Message);
  /// For daemons: brings a link up unless there is one.
  void connect(FakeDaemon &From, const std::string &To);
  /// For daemons: appends after the log's latency.
  void appendFrom(FakeDaemon &From, const state::Entry &Entry);
  [[nodiscard]] bool isCut(const std::string &From,
                           const std::string &To) const;

private:
  absl::Duration latency();
  void deliver(const std::string &From, model::Incarnation FromLife,
               const std::string &To,
               const std::shared_ptr<link::wire::MessageUnion> &Message,
               absl::Time When);
  void countBytes(FakeDaemon &From, const link::wire::MessageUnion &Message);
  std::unique_ptr<FakeDaemon> make(const std::string &Name,
                                   const std::string &DataCenter);

  Options m_Settings;
  std::mt19937_64 m_Random;
  EventQueue m_Queue;
  FakeLog m_Log;
  Traffic m_Traffic;
  std::uint64_t m_ChangeCount = 0;
  std::map<std::string, std::unique_ptr<FakeDaemon>> m_Daemons;
  std::vector<std::unique_ptr<FakeDaemon>> m_Dead; ///< Events may name them.
  std::map<std::pair<std::string, std::string>, bool> m_Cuts;
  std::map<std::pair<std::string, std::string>, absl::Time> m_LastArrival;
};

} // namespace knapweedloft::fakefleet

#endif // KNAPWEEDLOFT_FAKEFLEET_FAKEFLEET_H
