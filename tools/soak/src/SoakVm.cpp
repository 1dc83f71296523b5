#include "soak/SoakVm.h"

#include "adapter/WireNames.h"
#include "io/MonotonicClock.h"

#include "fmt/format.h"

#include <csignal>
#include <fstream>
#include <string_view>
#include <vector>

namespace knapweedloft::soak {
namespace {

/// Behind the proxies, which have the ports of the place.
constexpr std::uint16_t TargetPort = 7008;
constexpr std::uint16_t StorePort = 7009;

} // namespace

SoakVm::SoakVm(io::EventLoop &Loop, const SoakOptions &Settings,
               std::size_t Index, const std::string &Service,
               standins::StoreLog &Store, PromiseChecker &Checker)
    : m_Settings(Settings), m_Place(standins::loopbackConfig(Index, Service)) {
  const std::string &Address = m_Place.m_Target.m_Address;
  model::Endpoint StoreAt{Address, StorePort};
  m_Store = std::make_unique<standins::StoreServer>(Loop, StoreAt, Store);
  m_StoreProxy = std::make_unique<LoopProxy>(Loop, m_Place.m_Store, StoreAt);
  SoakTarget::Options Target;
  Target.m_Name = m_Place.m_Name;
  Target.m_Service = Service;
  Target.m_At = {Address, TargetPort};
  Target.m_Reported = m_Place.m_Target;
  Target.m_Control = m_Place.m_Control;
  Target.m_HeaderNames = adapter::platformHeaderNames();
  Target.m_Seed = Settings.m_Seed * 1000 + Index;
  Target.m_IsDaemonCalm = [this](absl::Time From, absl::Time To) {
    return wasCalm(From, To);
  };
  m_TargetProxy =
      std::make_unique<LoopProxy>(Loop, m_Place.m_Target, Target.m_At);
  m_TargetProxy->m_OnClientBytes = [&Checker, Vm = m_Place.m_Name,
                                    Field = Target.m_HeaderNames.m_CallId +
                                            ": "](std::string_view Bytes) {
    std::size_t From = Bytes.find(Field);
    if (From == std::string_view::npos)
      return;
    std::string_view Id = Bytes.substr(From + Field.size());
    Checker.onPassedOn(std::string(Id.substr(0, Id.find('\r'))), Vm,
                       io::monotonicNow());
  };
  m_Target = std::make_unique<SoakTarget>(Loop, std::move(Target), Checker);
}

void SoakVm::startDaemon(absl::Time Now) {
  std::string Base =
      fmt::format("{}/{}", m_Settings.m_Directory, m_Place.m_Name);
  std::ofstream(Base + ".toml", std::ios::trunc)
      << standins::settingsText(m_Place);
  m_Place.m_IsFirstStart = false;
  m_StartedAt = Now;
  m_StopBegan = absl::InfiniteFuture();
  m_Process = std::make_unique<harness::Process>(
      std::vector<std::string>{m_Settings.m_Program, "node", "--settings",
                               Base + ".toml"},
      Base + ".log");
  constexpr absl::Duration StartTime = absl::Seconds(2);
  disturb(Now, Now + StartTime);
}

void SoakVm::beginStop(absl::Time Now) {
  m_StopBegan = Now;
  signalDaemon(SIGCONT);
  signalDaemon(SIGTERM);
}

void SoakVm::kill(absl::Time Now) {
  disturb(Now, absl::InfiniteFuture());
  m_StopBegan = absl::InfiniteFuture();
  signalDaemon(SIGKILL);
}

void SoakVm::signalDaemon(int Signal) const {
  if (m_Process)
    m_Process->signal(Signal);
}

std::optional<int> SoakVm::reapDaemon(absl::Time Now) {
  if (!m_Process || m_Process->isRunning())
    return std::nullopt;
  int Code = m_Process->wait();
  m_Process.reset();
  disturb(Now, absl::InfiniteFuture());
  return Code;
}

void SoakVm::disturb(absl::Time Now, absl::Time Until) {
  if (Now > m_CalmFrom)
    m_DisturbedFrom = Now;
  // A start ends what an end began.
  m_CalmFrom = m_CalmFrom == absl::InfiniteFuture()
                   ? Until
                   : std::max(m_CalmFrom, Until);
}

bool SoakVm::wasCalm(absl::Time From, absl::Time To) const {
  return To < m_DisturbedFrom || From > m_CalmFrom;
}

} // namespace knapweedloft::soak
