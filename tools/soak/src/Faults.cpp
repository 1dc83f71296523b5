#include "soak/Soak.h"

#include "adapter/WireNames.h"
#include "io/MonotonicClock.h"

#include "fmt/format.h"

#include <algorithm>
#include <csignal>

namespace knapweedloft::soak {
namespace {

constexpr absl::Duration WatchEvery = absl::Milliseconds(20);
/// A daemon that is asked to stop has ended by then.
constexpr absl::Duration StopGrace = absl::Seconds(6);
/// Until its main function runs a program ends by a hang-up or SIGTERM; no code
/// of it can prevent that.
constexpr absl::Duration ProgramStart = absl::Milliseconds(300);
/// A limit holds for some windows of the rule on it.
constexpr double LimitTimes = 5;
/// After a freeze its connections and timers catch up.
constexpr absl::Duration AfterFreeze = absl::Seconds(1);

} // namespace

void Soak::faultLater() {
  std::exponential_distribution<double> Gap(
      1 / absl::ToDoubleSeconds(m_Settings.m_FaultEvery));
  later(absl::Seconds(Gap(m_Random)), [this] {
    if (m_IsCalm)
      return;
    auto Kind =
        static_cast<FaultKind>(std::uniform_int_distribution<std::size_t>(
            0, FaultKindCount - 1)(m_Random));
    std::size_t Vm = std::uniform_int_distribution<std::size_t>(
        0, m_Vms.size() - 1)(m_Random);
    inject(Kind, Vm, io::monotonicNow());
    faultLater();
  });
}

void Soak::inject(FaultKind Kind, std::size_t Vm, absl::Time Now) {
  ++m_Faults;
  SoakVm &At = *m_Vms[Vm];
  absl::Duration For = drawTime(0.1, 3);
  tell(fmt::format("fault {} at {} for {:.2f} s", FaultKindNames.nameOf(Kind),
                   At.name(), absl::ToDoubleSeconds(For)));
  switch (Kind) {
  case FaultKind::KillAllDaemons:
    m_Checker.onAllDaemonsKilled();
    for (auto &One : m_Vms)
      injectAtDaemon(FaultKind::KillDaemon, *One, For, Now);
    return;
  case FaultKind::StoreAwayForAll:
    for (auto &One : m_Vms)
      injectAtStore(FaultKind::StoreAway, *One, For);
    return;
  case FaultKind::Compact:
    return m_Store.compact(std::string(adapter::OperatorTopic));
  case FaultKind::StoreRestored:
    return restoreStore();
  case FaultKind::Configure:
    return configure(Now);
  case FaultKind::HotCustomer:
    m_IsHot = true;
    return later(For, [this] { m_IsHot = false; });
  default:
    break;
  }
  injectAtDaemon(Kind, At, For, Now);
  injectAtTarget(Kind, At, For);
  injectAtStore(Kind, At, For);
}

void Soak::copyStore() {
  m_Store.keepCopy();
  later(drawTime(0.5, 4), [this] { copyStore(); });
}

void Soak::restoreStore() {
  m_Store.restoreCopy();
  // The operator writes again what the copy lacks.
  later(drawTime(0, 0.5), [this] { writeCatalog(); });
}

void Soak::injectAtDaemon(FaultKind Kind, SoakVm &At, absl::Duration For,
                          absl::Time Now) {
  if (!At.isRunning())
    return;
  if (Kind == FaultKind::KillDaemon) {
    At.kill(Now);
  } else if (Kind == FaultKind::StopDaemon && !At.isStopping()) {
    At.beginStop(Now);
  } else if (Kind == FaultKind::FreezeDaemon) {
    At.disturb(Now, Now + For + AfterFreeze);
    At.signalDaemon(SIGSTOP);
    later(For, [&At] { At.signalDaemon(SIGCONT); });
  } else if (Kind == FaultKind::HangUp && Now - At.startedAt() > ProgramStart) {
    At.signalDaemon(SIGHUP);
  }
}

void Soak::injectAtTarget(FaultKind Kind, SoakVm &At, absl::Duration For) {
  auto Disturb = [&](ProxyMode Mode) {
    At.targetProxy().setMode(Mode);
    later(For, [&At] { At.targetProxy().setMode(ProxyMode::Pass); });
  };
  switch (Kind) {
  case FaultKind::CrashTarget:
    return At.target().crash();
  case FaultKind::LeaveTarget:
    return At.target().leave();
  case FaultKind::TargetLimit:
    At.target().nameLimit(draw(1, 20));
    return later(For * LimitTimes, [&At] { At.target().nameLimit(0); });
  case FaultKind::TargetSaysLeaving:
    return At.target().sayLeaving();
  case FaultKind::TargetDelay:
    return Disturb(ProxyMode::Delay);
  case FaultKind::TargetOneWay:
    return Disturb(ProxyMode::OneWay);
  case FaultKind::TargetSilent:
    return Disturb(ProxyMode::Silent);
  case FaultKind::TargetReset:
    return At.targetProxy().resetAll();
  default:
    return;
  }
}

void Soak::injectAtStore(FaultKind Kind, SoakVm &At, absl::Duration For) {
  using standins::StoreFault;
  auto Disturb = [&](StoreFault Fault) {
    At.store().setFault(Fault);
    later(For, [&At] { At.store().setFault(StoreFault::None); });
  };
  switch (Kind) {
  case FaultKind::StoreDelay:
    At.storeProxy().setMode(ProxyMode::Delay);
    return later(For, [&At] { At.storeProxy().setMode(ProxyMode::Pass); });
  case FaultKind::StoreReset:
    return At.storeProxy().resetAll();
  case FaultKind::StoreAway:
    return Disturb(StoreFault::Unavailable);
  case FaultKind::StoreLimited:
    return Disturb(StoreFault::RateLimited);
  case FaultKind::StoreSilent:
    return Disturb(StoreFault::Silent);
  case FaultKind::StoreLostAnswer:
    return Disturb(StoreFault::LostResponse);
  case FaultKind::StoreLate:
    return Disturb(StoreFault::Delayed);
  default:
    return;
  }
}

void Soak::heal() {
  m_IsCalm = true;
  m_IsHot = false;
  for (auto &Vm : m_Vms) {
    Vm->targetProxy().setMode(ProxyMode::Pass);
    Vm->storeProxy().setMode(ProxyMode::Pass);
    Vm->store().setFault(standins::StoreFault::None);
    Vm->signalDaemon(SIGCONT);
  }
  tell("calm");
}

void Soak::watch() {
  later(WatchEvery, [this] { watch(); });
  absl::Time Now = io::monotonicNow();
  for (auto &Vm : m_Vms) {
    if (auto Code = Vm->reapDaemon(Now))
      onEnded(*Vm, *Code);
    if (m_Settings.m_ChecksTimes && Now - Vm->stopBegan() > StopGrace) {
      m_Checker.breach(fmt::format("{} still runs {} after SIGTERM", Vm->name(),
                                   absl::FormatDuration(StopGrace)));
      Vm->kill(Now);
    }
    if (!Vm->target().isUp())
      later(drawTime(0.2, 1), [&Target = Vm->target()] { Target.start(); });
  }
}

void Soak::onEnded(SoakVm &At, int Code) {
  constexpr int KilledCode = 128 + SIGKILL;
  constexpr int TerminatedCode = 128 + SIGTERM;
  bool IsStoppedAtStart = Code == TerminatedCode && At.isStopping() &&
                          At.stopBegan() - At.startedAt() < ProgramStart;
  if (Code != KilledCode && !IsStoppedAtStart &&
      (Code != 0 || !At.isStopping()))
    m_Checker.breach(
        fmt::format("{} ended by itself with {}", At.name(), Code));
  tell(fmt::format("{} ended with {}", At.name(), Code));
  later(drawTime(0.1, 1.5), [&At] {
    if (!At.isRunning())
      At.startDaemon(io::monotonicNow());
  });
}

} // namespace knapweedloft::soak
