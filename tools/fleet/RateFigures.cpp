#include "RateFigures.h"

#include "fakefleet/FakeDaemon.h"
#include "fakefleet/FakeFleet.h"
#include "fakefleet/RateProbe.h"
#include "policy/RateShard.h"
#include "policy/TokenBucket.h"

#include <algorithm>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace knapweedloft::fleet {
namespace {

using fakefleet::RateProbe;
using fakefleet::RateTally;

constexpr int DaemonCount = 10;
constexpr absl::Duration Length = absl::Seconds(300);
constexpr absl::Duration MoveEvery = absl::Seconds(5);

struct Limits {
  double m_PerSecond;
  double m_Burst;
};

/// How a customer's calls spread over the daemons.
enum class Demand { OneMoves, Even };

class RateRun {
public:
  RateRun(std::uint64_t Seed, const Limits &Rate,
          const policy::GrantedTokens::Options &Held)
      : m_Rate(Rate), m_Random(Seed),
        m_Fleet({.m_Seed = Seed, .m_Rates = {.m_Allotment = Held}}) {
    for (int Index = 0; Index < DaemonCount; ++Index)
      m_Fleet.add("d" + std::to_string(Index),
                  "dc" + std::to_string(Index % 3));
    m_Fleet.put(model::Customer{"c", ""});
    m_Fleet.put(model::Rate{"c", Rate.m_PerSecond, Rate.m_Burst});
    m_Fleet.run(absl::Seconds(5) +
                absl::Seconds(Rate.m_Burst / Rate.m_PerSecond));
    m_Probe.emplace(m_Fleet, "c", Rate.m_PerSecond, Rate.m_Burst);
    m_Probe->setLinkedTargets(true);
  }

  /// Calls at \p Load times the rate, in a Poisson stream.
  void run(Demand How, double Load, absl::Duration For) {
    m_Load = Load;
    m_How = How;
    m_Ends = m_Fleet.now() + For;
    m_MovesAt = m_Fleet.now();
    next();
    m_Fleet.run(For + absl::Seconds(1));
  }

  void crashKeeper() { m_Fleet.crash(keeper()); }

  [[nodiscard]] std::string keeper() {
    return m_Fleet.daemon("d0")
        .replica()
        .store()
        .share()
        ->keeperOf(policy::rateShardOf("c"))
        .m_Name;
  }

  [[nodiscard]] std::uint64_t asks() {
    std::uint64_t Sum = 0;
    for (const std::string &Name : m_Fleet.names())
      Sum += m_Fleet.daemon(Name).rates().counters().m_Asks;
    return Sum;
  }

  [[nodiscard]] RateProbe &probe() { return *m_Probe; }
  fakefleet::FakeFleet &fleet() { return m_Fleet; }

private:
  void next() {
    std::exponential_distribution<double> Gap(m_Rate.m_PerSecond * m_Load);
    m_Fleet.queue().after(absl::Seconds(Gap(m_Random)), [this] { call(); });
  }

  void call() {
    if (m_Fleet.now() >= m_Ends)
      return;
    if (m_Fleet.now() >= m_MovesAt) {
      m_MovesAt = m_Fleet.now() + MoveEvery;
      m_At = (m_At + 1) % DaemonCount;
    }
    int At = m_How == Demand::OneMoves
                 ? m_At
                 : static_cast<int>(m_Random() % DaemonCount);
    m_Probe->call("d" + std::to_string(At));
    next();
  }

  Limits m_Rate;
  std::mt19937_64 m_Random;
  fakefleet::FakeFleet m_Fleet;
  std::optional<fakefleet::RateProbe> m_Probe;
  double m_Load = 0;
  Demand m_How = Demand::Even;
  absl::Time m_Ends;
  absl::Time m_MovesAt;
  int m_At = 0;
};

double inTenThousand(std::uint64_t Count, const RateTally &Tally) {
  return 1e4 * static_cast<double>(Count) / static_cast<double>(Tally.m_Calls);
}

double wrongInTenThousand(const RateTally &Tally) {
  return inTenThousand(Tally.m_Wrong, Tally);
}

double grantedShare(const RateTally &Tally, const Limits &Rate,
                    absl::Duration For) {
  return static_cast<double>(Tally.m_Granted) /
         (Rate.m_PerSecond * absl::ToDoubleSeconds(For) + Rate.m_Burst);
}

/// Each daemon has its own bucket of an equal share; no messages.
RateTally runFixedShares(std::uint64_t Seed, const Limits &Rate, Demand How,
                         double Load) {
  std::mt19937_64 Random(Seed);
  absl::Time Now = absl::UnixEpoch();
  policy::TokenBucket::Options Share{Rate.m_PerSecond / DaemonCount,
                                     std::max(1.0, Rate.m_Burst / DaemonCount)};
  std::vector<policy::TokenBucket> Buckets(
      DaemonCount, policy::TokenBucket(Share, Now - absl::Hours(1)));
  policy::TokenBucket Ideal({Rate.m_PerSecond, Rate.m_Burst},
                            Now - absl::Hours(1));
  policy::TokenBucket Used = Ideal;
  std::exponential_distribution<double> Gap(Rate.m_PerSecond * Load);
  RateTally Tally;
  for (absl::Time End = Now + Length; Now < End;
       Now += absl::Seconds(Gap(Random))) {
    auto Turn = static_cast<std::uint64_t>(
        absl::ToInt64Seconds((Now - absl::UnixEpoch())) /
        absl::ToInt64Seconds(MoveEvery));
    std::uint64_t At = How == Demand::OneMoves ? Turn : Random();
    ++Tally.m_Calls;
    bool IsWithin = Ideal.tryTake(1, Now);
    if (Buckets[At % DaemonCount].tryTake(1, Now)) {
      ++Tally.m_Granted;
      (void)Used.tryTake(1, Now);
      continue;
    }
    Tally.m_Wrong += Used.level(Now) >= 1 ? 1 : 0;
    Tally.m_BesideIdeal += IsWithin ? 1 : 0;
  }
  return Tally;
}

void weigh(std::uint64_t Seed, const Limits &Rate, Figures &Out) {
  Out.note(
      fmt::format("rate {:g}/s, burst {:g}", Rate.m_PerSecond, Rate.m_Burst));
  Out.note(fmt::format("  {:<28} {:>22} {:>12} {:>12} {:>10}", "way",
                       "wrong in 10,000 at 90%", "beside ideal", "5x: share",
                       "asks/call"));
  auto Row = [&](const std::string &Name, const RateTally &Moving, double Share,
                 double Asks) {
    Out.note(fmt::format("  {:<28} {:>22.2f} {:>12.2f} {:>12.4f} {:>10.3f}",
                         Name, wrongInTenThousand(Moving),
                         inTenThousand(Moving.m_BesideIdeal, Moving), Share,
                         Asks));
  };
  Row("fixed equal shares", runFixedShares(Seed, Rate, Demand::OneMoves, 0.9),
      grantedShare(runFixedShares(Seed, Rate, Demand::Even, 5), Rate, Length),
      0);
  std::vector<std::pair<std::string, policy::GrantedTokens::Options>> Ways{
      {"a keeper for each call", {.m_MaxPrefetchShare = 0}},
      {"allotments, 50 ms ahead", {.m_PrefetchPeriod = absl::Milliseconds(50)}},
      {"allotments, 100 ms ahead", {}},
      {"allotments, 250 ms ahead",
       {.m_PrefetchPeriod = absl::Milliseconds(250)}},
      {"allotments, 1 s, half burst",
       {.m_PrefetchPeriod = absl::Seconds(1), .m_MaxPrefetchShare = 0.5}}};
  for (const auto &[Name, Held] : Ways) {
    RateRun Moving(Seed, Rate, Held);
    Moving.run(Demand::OneMoves, 0.9, Length);
    double Asks = static_cast<double>(Moving.asks()) /
                  static_cast<double>(Moving.probe().tally().m_Calls);
    RateRun Over(Seed, Rate, Held);
    Over.run(Demand::Even, 5, Length);
    Row(Name, Moving.probe().tally(),
        grantedShare(Over.probe().tally(), Rate, Length), Asks);
  }
}

void measureChosen(std::uint64_t Seed, const Limits &Rate, Figures &Out) {
  std::string Title =
      fmt::format("{:g}/s burst {:g}", Rate.m_PerSecond, Rate.m_Burst);
  RateRun Moving(Seed, Rate, {});
  Moving.run(Demand::OneMoves, 0.9, Length);
  Out.atMost(Title + ": wrong in 10,000 at 90%",
             wrongInTenThousand(Moving.probe().tally()), 5);
  const RateTally &Tally = Moving.probe().tally();
  Out.note(fmt::format("  {}: refused {}, one bucket would have refused {}",
                       Title, Tally.m_OverRate + Tally.m_KeeperAway,
                       Tally.m_IdealRefused));
  RateRun Over(Seed, Rate, {});
  Over.run(Demand::Even, 5, Length);
  double Share = grantedShare(Over.probe().tally(), Rate, Length);
  Out.atLeast(Title + ": share of its rate at 5x", Share, 0.98);
  Out.atMost(Title + ": tokens past rate and burst", Over.probe().overshoot(0),
             0.001);
}

void measureDeath(std::uint64_t Seed, Figures &Out) {
  Limits Rate{100, 100};
  RateRun Run(Seed, Rate, {});
  Run.run(Demand::Even, 0.9, absl::Seconds(20));
  Run.probe().resetTally();
  Run.crashKeeper();
  Run.run(Demand::Even, 0.9, absl::Seconds(60));
  const RateTally &Tally = Run.probe().tally();
  Out.note(fmt::format(
      "death of the keeper, 100/s at 90%: {} of {} calls refused wrongly, "
      "{:.1f} s of calls; past rate and burst {:.3g}",
      Tally.m_Wrong, Tally.m_Calls,
      static_cast<double>(Tally.m_Wrong) / (0.9 * Rate.m_PerSecond),
      Run.probe().overshoot(0)));
  Out.atMost("keeper's death: tokens past rate and burst",
             Run.probe().overshoot(0), 0.001);
}

} // namespace

void measureRates(std::uint64_t Seed, Figures &Out) {
  Out.note("rates over ten daemons, in virtual time");
  for (const Limits &Rate :
       {Limits{100, 100}, Limits{100, 20}, Limits{20, 20}, Limits{1000, 1000}})
    weigh(Seed, Rate, Out);
  for (const Limits &Rate :
       {Limits{100, 100}, Limits{100, 20}, Limits{20, 20}, Limits{1000, 1000}})
    measureChosen(Seed, Rate, Out);
  measureDeath(Seed, Out);
}

} // namespace knapweedloft::fleet
