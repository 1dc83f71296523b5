#include "ledger/FaultRun.h"

#include "absl/time/clock.h"

#include <csignal>

namespace knapweedloft::ledger {
namespace {

constexpr absl::Duration BetweenFaults = absl::Milliseconds(400);
constexpr absl::Duration DownTime = absl::Milliseconds(200);
/// Past the limit of silence of links and past the life of rate grants.
constexpr absl::Duration PauseTime = absl::Milliseconds(2500);
constexpr absl::Duration LogOutage = absl::Seconds(2);
constexpr absl::Duration BetweenReplacements = absl::Seconds(1);

} // namespace

void FaultRun::run(const std::function<bool()> &IsDone) {
  while (true) {
    absl::SleepFor(BetweenFaults);
    if (IsDone())
      return;
    auto What = static_cast<Fault>(m_Random() % FaultCount);
    bring(What, m_Random() % m_Site.site().size());
  }
}

void FaultRun::bring(Fault What, std::size_t Index) {
  ++m_Counts[static_cast<std::size_t>(What)];
  harness::Node &Node = m_Site.site().node(Index);
  harness::Process &Log = m_Site.site().logService();
  switch (What) {
  case Fault::DaemonKilled:
    Node.m_Daemon->signal(SIGKILL);
    absl::SleepFor(DownTime);
    m_Site.restartDaemon(Index);
    return;
  case Fault::TargetKilled:
    Node.m_Target->signal(SIGKILL);
    absl::SleepFor(DownTime);
    m_Site.restartTarget(Index);
    return;
  case Fault::DaemonPaused:
    Node.m_Daemon->signal(SIGSTOP);
    absl::SleepFor(PauseTime);
    Node.m_Daemon->signal(SIGCONT);
    return;
  case Fault::LogPaused:
    Log.signal(SIGSTOP);
    absl::SleepFor(LogOutage);
    Log.signal(SIGCONT);
    return;
  }
}

std::uint64_t FaultRun::roll(const std::function<bool()> &IsDone) {
  std::uint64_t Replaced = 0;
  while (!IsDone()) {
    std::size_t Index = Replaced % m_Site.site().size();
    m_Site.site().node(Index).m_Daemon->signal(SIGTERM);
    m_Site.site().node(Index).m_Daemon->wait();
    m_Site.restartDaemon(Index);
    ++Replaced;
    absl::SleepFor(BetweenReplacements);
  }
  return Replaced;
}

} // namespace knapweedloft::ledger
