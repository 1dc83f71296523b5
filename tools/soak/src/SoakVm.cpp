#include "soak/SoakVm.h"

#include "adapter/WireNames.h"
#include "harness/HarnessError.h"

#include "fmt/format.h"

#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>
#include <vector>

namespace knapweedloft::soak {
namespace {

constexpr std::uint16_t LinksPort = 7002;
constexpr std::uint16_t ReadyPort = 7003;
constexpr std::uint16_t ControlPort = 7004;
constexpr std::uint16_t MetricsPort = 7005;
constexpr std::uint16_t TargetPort = 7006;
constexpr std::uint16_t TargetProxyPort = 7007;
constexpr std::uint16_t StorePort = 7008;
constexpr std::uint16_t StoreProxyPort = 7009;

/// Soaks that run beside each other have loopback networks of their own.
std::string addressOf(std::size_t Index) {
  auto Own = static_cast<unsigned>(::getpid());
  return fmt::format("127.{}.{}.{}", 16 + Own / 250 % 200, Own % 250 + 1,
                     Index);
}

} // namespace

SoakVm::SoakVm(io::EventLoop &Loop, const SoakOptions &Settings,
               std::size_t Index, const std::string &Service,
               standins::StoreLog &Store, PromiseChecker &Checker)
    : m_Settings(Settings), m_Name(fmt::format("vm{}", Index)),
      m_Service(Service), m_Address(addressOf(Index)),
      m_SettingsPath(fmt::format("{}/{}.toml", Settings.m_Directory, m_Name)) {
  m_Store = std::make_unique<standins::StoreDoor>(Loop, at(StorePort), Store);
  m_StoreProxy =
      std::make_unique<LoopProxy>(Loop, at(StoreProxyPort), at(StorePort));
  SoakTarget::Options Target;
  Target.m_Name = m_Name;
  Target.m_Service = Service;
  Target.m_At = at(TargetPort);
  Target.m_Reported = at(TargetProxyPort);
  Target.m_Control = at(ControlPort);
  Target.m_Dialect = adapter::platformDialect();
  Target.m_Seed = Settings.m_Seed * 1000 + Index;
  m_Target = std::make_unique<SoakTarget>(Loop, std::move(Target), Checker);
  m_TargetProxy =
      std::make_unique<LoopProxy>(Loop, at(TargetProxyPort), at(TargetPort));
}

SoakVm::~SoakVm() {
  if (!isRunning())
    return;
  ::kill(m_Process, SIGKILL);
  ::waitpid(m_Process, nullptr, 0);
}

void SoakVm::writeSettings() const {
  std::ofstream File(m_SettingsPath, std::ios::trunc);
  auto Text = [](const model::Endpoint &At) {
    return fmt::format("\"{}:{}\"", At.m_Address, At.m_Port);
  };
  File << fmt::format(
      "[daemon]\nname = \"{}\"\ndata_center = \"z\"\nregion = \"r\"\n"
      "first_start = {}\n[target]\nservice = \"{}\"\naddress = {}\n"
      "[listen]\ncallers = {}\nlinks = {}\nready = {}\ncontrol = {}\n"
      "metrics = {}\n[store]\naddress = {}\n[limits]\nmemory_mb = 64\n"
      "descriptors = 1024\n[stop]\ngrace_s = 6\n[repeats]\nratio = 0.2\n",
      m_Name, m_WasStarted ? "false" : "true", m_Service,
      Text(at(TargetProxyPort)), Text(at(CallersPort)), Text(at(LinksPort)),
      Text(at(ReadyPort)), Text(at(ControlPort)), Text(at(MetricsPort)),
      Text(at(StoreProxyPort)));
}

void SoakVm::startDaemon(absl::Time Now) {
  writeSettings();
  m_WasStarted = true;
  m_StartedAt = Now;
  m_StopBegan = absl::InfiniteFuture();
  std::string Log = fmt::format("{}/{}.log", m_Settings.m_Directory, m_Name);
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO, Log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  std::vector<std::string> Words{m_Settings.m_Program, "node", "--settings",
                                 m_SettingsPath};
  std::vector<char *> Arguments;
  Arguments.reserve(Words.size() + 1);
  for (std::string &Word : Words)
    Arguments.push_back(Word.data());
  Arguments.push_back(nullptr);
  int Error = posix_spawn(&m_Process, Arguments[0], &Actions, nullptr,
                          Arguments.data(), environ);
  posix_spawn_file_actions_destroy(&Actions);
  if (Error != 0)
    throw harness::HarnessError(
        fmt::format("cannot start {}: {}", Words[0], std::strerror(Error)));
  constexpr absl::Duration StartTime = absl::Seconds(2);
  disturb(Now, Now + StartTime);
}

void SoakVm::signalDaemon(int Signal) const {
  if (isRunning())
    ::kill(m_Process, Signal);
}

bool SoakVm::reapDaemon(absl::Time Now) {
  int Status = 0;
  if (!isRunning() || ::waitpid(m_Process, &Status, WNOHANG) != m_Process)
    return false;
  constexpr int SignalCodeBase = 128;
  m_ExitCode = WIFEXITED(Status) ? WEXITSTATUS(Status)
                                 : SignalCodeBase + WTERMSIG(Status);
  m_Process = -1;
  disturb(Now, absl::InfiniteFuture());
  return true;
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
