#include "ledger/Callers.h"
#include "ledger/FaultRun.h"
#include "ledger/KillerRun.h"
#include "ledger/LedgerSite.h"

#include "absl/time/clock.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <atomic>
#include <exception>
#include <map>
#include <string>
#include <thread>

namespace {

using namespace knapweedloft;
using namespace knapweedloft::ledger;

void printLine(std::string_view What, std::uint64_t Count) {
  fmt::print("  {:<44} {:>9}\n", What, Count);
}

void printCheck(std::string_view What, std::uint64_t Count) {
  fmt::print("  {:<44} {:>9}  target 0  {}\n", What, Count,
             Count == 0 ? "ok" : "short");
}

void printVerdict(const Verdict &Joined) {
  printLine("calls", Joined.m_Calls);
  printLine("sendings", Joined.m_Sendings);
  printLine("starts at targets", Joined.m_Starts);
  for (std::size_t Index = 0; Index < CallEndCount; ++Index)
    printLine(fmt::format("ended as {}",
                          CallEndNames.nameOf(static_cast<CallEnd>(Index))),
              Joined.m_Ends[Index]);
  printCheck("not idempotent, started twice", Joined.m_Doubled);
  printCheck("answered, but never started", Joined.m_AnsweredUnrun);
  printCheck("said 'not run', but started", Joined.m_FalseNotRun);
  printCheck("not its own whole answer", Joined.m_Wrong);
  printCheck("callers' keys seen by a target", Joined.m_KeysSeen);
  for (const std::string &Id : Joined.m_Examples)
    fmt::print("  at fault: {}\n", Id);
}

void printReasons(const std::map<std::string, std::uint64_t> &Reasons) {
  for (const auto &[Reason, Count] : Reasons)
    printLine("refused as " + Reason, Count);
}

/// One killer among a thousand ordinary calls in flight.
int runKiller(Callers::Plan Plan) {
  constexpr std::uint64_t MaxDeaths = 2;
  constexpr unsigned InFlight = 1000;
  constexpr unsigned Passes = 10;
  LedgerSite Site;
  Plan.m_Authorization = Site.authorization();
  Plan.m_Bases = Site.bases();
  Plan.m_AtOnce = InFlight;
  Plan.m_Passes = Passes;
  Callers Sending(Plan);
  KillerRun Killer(Site);
  std::atomic<bool> IsDone = false;
  std::thread Load([&] {
    Sending.run();
    IsDone = true;
  });
  Killer.run([&] { return IsDone.load(); });
  Load.join();
  Verdict Joined = join(Sending.records(), Site.readBooks());
  printVerdict(Joined);
  auto Reasons = Sending.reasons();
  std::uint64_t Quarantined = Reasons["quarantined"];
  printReasons(Reasons);
  bool IsListed = Killer.isListed();
  printLine("times the killer was sent", Killer.sendings());
  fmt::print("  {:<44} {:>9}  target {}  {}\n", "deaths of targets",
             Killer.deaths(), MaxDeaths,
             Killer.deaths() <= MaxDeaths ? "ok" : "short");
  printCheck("ordinary sendings refused as quarantined", Quarantined);
  printCheck("ordinary idempotent calls never answered",
             Sending.unansweredIdempotent());
  bool Holds = Joined.holds() && Killer.deaths() <= MaxDeaths &&
               Killer.isPutAside() && IsListed &&
               Quarantined + Sending.unansweredIdempotent() == 0;
  fmt::print("seed={} calls={} deaths={} sent={} put_aside={} listed={} "
             "company_quarantined={} company_unanswered={} result={}\n",
             Plan.m_Seed, Joined.m_Calls, Killer.deaths(), Killer.sendings(),
             Killer.isPutAside(), IsListed, Quarantined,
             Sending.unansweredIdempotent(), Holds ? "ok" : "short");
  return Holds ? 0 : 1;
}

int run(const Callers::Plan &Wanted, bool IsRolling) {
  LedgerSite Site(IsRolling);
  Callers::Plan Plan = Wanted;
  Plan.m_Authorization = Site.authorization();
  Plan.m_Bases = Site.bases();
  Callers Sending(Plan);
  FaultRun Faults(Site, Plan.m_Seed);
  absl::Time Begun = absl::Now();
  std::thread Load([&] { Sending.run(); });
  auto IsDone = [&] { return Sending.ended() == Plan.m_Calls; };
  std::uint64_t Replaced = 0;
  if (IsRolling)
    Replaced = Faults.roll(IsDone);
  else
    Faults.run(IsDone);
  Load.join();
  double Seconds = absl::ToDoubleSeconds(absl::Now() - Begun);
  Verdict Joined = join(Sending.records(), Site.readBooks());
  printVerdict(Joined);
  printReasons(Sending.reasons());
  bool Holds = Joined.holds();
  auto Ended = [&](CallEnd End) {
    return Joined.m_Ends[static_cast<std::size_t>(End)];
  };
  std::string Faulted;
  if (IsRolling) {
    std::uint64_t Cut = Ended(CallEnd::None) + Ended(CallEnd::Unknown);
    printLine("daemons replaced", Replaced);
    printCheck("calls cut by a planned stop", Cut);
    Holds = Holds && Cut == 0;
    Faulted = fmt::format(" replaced={} cut={} refused={}", Replaced, Cut,
                          Ended(CallEnd::NotRun));
  }
  for (std::size_t Index = 0; Index < FaultCount && !IsRolling; ++Index)
    Faulted +=
        fmt::format(" {}={}", FaultNames.nameOf(static_cast<Fault>(Index)),
                    Faults.counts()[Index]);
  fmt::print("seed={} calls={} whole={} unknown={} doubled={} unrun={} "
             "false_not_run={} wrong={} keys_seen={}{} seconds={:.1f} "
             "result={}\n",
             Plan.m_Seed, Joined.m_Calls, Ended(CallEnd::Whole),
             Ended(CallEnd::Unknown), Joined.m_Doubled, Joined.m_AnsweredUnrun,
             Joined.m_FalseNotRun, Joined.m_Wrong, Joined.m_KeysSeen, Faulted,
             Seconds, Holds ? "ok" : "short");
  return Holds ? 0 : 1;
}

} // namespace

int main(int Count, char **Arguments) {
  CLI::App App{"Joins the ledgers of callers and targets under faults."};
  Callers::Plan Plan;
  bool IsRolling = false;
  bool IsKiller = false;
  App.add_option("--seed", Plan.m_Seed, "Seed of calls and faults");
  App.add_option("--requests", Plan.m_Calls, "Calls to send");
  App.add_option("--at-once", Plan.m_AtOnce, "Calls under way at once");
  App.add_option("--per-second", Plan.m_PerSecond, "New calls a second");
  App.add_flag("--rolling", IsRolling,
               "Replace daemons by planned stops instead of faults");
  App.add_flag("--killer", IsKiller,
               "One request that ends targets among 1,000 in flight");
  CLI11_PARSE(App, Count, Arguments);
  try {
    return IsKiller ? runKiller(Plan) : run(Plan, IsRolling);
  } catch (const std::exception &Error) {
    fmt::print(stderr, "error: {}\n", Error.what());
    return 2;
  }
}
