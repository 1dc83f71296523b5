#include "SpreadFigures.h"

#include "absl/time/clock.h"

#include <algorithm>
#include <csignal>
#include <vector>

namespace knapweedloft::fleet {
namespace {

/// The users' limit for a change.
constexpr double InForceWithin = 10;

double change(FleetSite &Fleet, int Number) {
  std::string Path = fmt::format("customers/change-{}", Number);
  Fleet.site().put(Path, R"({"display_name":""})",
                   static_cast<std::size_t>(Number) % FleetSite::DaemonCount);
  return Fleet.secondsUntilAll("/v1/" + Path, 200);
}

void report(const std::string &Name, std::vector<double> Seconds,
            Figures &Out) {
  std::sort(Seconds.begin(), Seconds.end());
  Out.note(fmt::format("  {}: {} changes, median {:.3f} s", Name,
                       Seconds.size(), Seconds[Seconds.size() / 2]));
  Out.atMost(Name + ": longest, s", Seconds.back(), InForceWithin);
}

void restartThird(FleetSite &Fleet) {
  harness::Site &Site = Fleet.site();
  for (std::size_t Index = 1; Index < Site.size(); Index += 3)
    Site.node(Index).m_Daemon->signal(SIGKILL);
  for (std::size_t Index = 1; Index < Site.size(); Index += 3)
    Site.node(Index).m_Daemon->wait();
  for (std::size_t Index = 1; Index < Site.size(); Index += 3)
    Site.startDaemon(Index);
  for (std::size_t Index = 1; Index < FleetSite::TargetCount; Index += 3)
    Site.startTarget(Index);
}

} // namespace

void measureSpread(FleetSite &Fleet, Figures &Out) {
  Out.note("from accepted to in force on 30 daemons in 3 data centers");
  int Number = 0;
  std::vector<double> Plain;
  Plain.reserve(20);
  for (int Round = 0; Round < 20; ++Round)
    Plain.push_back(change(Fleet, Number++));
  report("plain", Plain, Out);

  Fleet.setLogFaults(R"({"slow_ms":1500})");
  std::vector<double> Slow;
  Slow.reserve(3);
  for (int Round = 0; Round < 3; ++Round)
    Slow.push_back(change(Fleet, Number++));
  Fleet.setLogFaults("{}");
  report("log slow by 1.5 s", Slow, Out);

  std::vector<double> Restarted;
  for (int Round = 0; Round < 2; ++Round) {
    std::string Path = fmt::format("customers/restart-{}", Round);
    absl::Time Start = absl::Now();
    Fleet.site().put(Path, R"({"display_name":""})", 0);
    restartThird(Fleet);
    (void)Fleet.secondsUntilAll("/v1/" + Path, 200);
    Restarted.push_back(absl::ToDoubleSeconds(absl::Now() - Start));
  }
  report("a third killed and started", Restarted, Out);
}

} // namespace knapweedloft::fleet
