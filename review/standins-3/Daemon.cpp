#include "Daemon.h"

#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <map>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

namespace knapweedloft::review3 {
namespace {

/// The processes that run, for the end of a test that is cut off.
constexpr std::size_t MaxProcesses = 64;
std::array<std::atomic<pid_t>, MaxProcesses> Running{};

void note(pid_t Former, pid_t Next) {
  for (std::atomic<pid_t> &Each : Running) {
    pid_t Expected = Former;
    if (Each.compare_exchange_strong(Expected, Next))
      return;
  }
}

void onEnd(int) {
  for (std::atomic<pid_t> &Each : Running)
    if (pid_t Process = Each; Process > 0)
      ::kill(Process, SIGKILL);
  ::_exit(2);
}

std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

std::string quoted(const std::string &Text) { return "\"" + Text + "\""; }

/// Leaves out the section \p Name, which has no value in these settings.
void dropSection(std::string &Text, const std::string &Name) {
  std::string End = "{{/" + Name + "}}";
  std::size_t From = Text.find("{{#" + Name + "}}");
  std::size_t To = Text.find(End);
  if (From != std::string::npos && To != std::string::npos)
    Text.erase(From, To + End.size() - From);
}

} // namespace

std::string Daemon::settings(bool IsFirstStart) const {
  std::string Text = readFile("deploy/settings.toml");
  dropSection(Text, "bounds.exposureShare");
  const std::map<std::string, std::string> Values = {
      {"nodeName", quoted(m_Settings.m_Name)},
      {"zone", quoted("z")},
      {"region", quoted("r")},
      {"bootstrap", IsFirstStart ? "true" : "false"},
      {"service", quoted(m_Settings.m_Service)},
      {"appAddress", quoted(textOf(upstream()))},
      {"listen.outbound", quoted(textOf(callers()))},
      {"listen.inbound", quoted(textOf(links()))},
      {"listen.ready", quoted(textOf(ready()))},
      {"listen.control", quoted(textOf(control()))},
      {"platform.address", quoted(textOf(m_Settings.m_Store))},
      {"limits.memoryMb", std::to_string(m_Settings.m_MemoryMb)},
      {"limits.fileDescriptors", std::to_string(m_Settings.m_Descriptors)},
      {"bounds.graceS", std::to_string(m_Settings.m_GraceSeconds)},
      {"bounds.retryBudgetRatio", "0.2"}};
  for (const auto &[Name, Value] : Values) {
    std::string Place = "{{" + Name + "|json}}";
    for (std::size_t At = 0; (At = Text.find(Place)) != std::string::npos;)
      Text.replace(At, Place.size(), Value);
  }
  std::string Ip = "{{ip}}";
  for (std::size_t At = 0; (At = Text.find(Ip)) != std::string::npos;)
    Text.replace(At, Ip.size(), m_Settings.m_Ip);
  return Text;
}

bool Daemon::start(bool IsFirstStart) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  std::string Base = m_Settings.m_Folder + "/" + m_Settings.m_Name;
  std::string Path = Base + ".toml";
  std::ofstream(Path) << settings(IsFirstStart);
  std::string Variable = "KNAPWEEDLOFT_SETTINGS=" + Path;
  const char *Search = std::getenv("PATH");
  std::string PathVariable = std::string("PATH=") + (Search ? Search : "");
  char *Environment[] = {Variable.data(), PathVariable.data(), nullptr};
  std::string Program = "target/bin/knapweedloft";
  std::string Verb = "node";
  char *Arguments[] = {Program.data(), Verb.data(), nullptr};
  posix_spawn_file_actions_t Files;
  ::posix_spawn_file_actions_init(&Files);
  ::posix_spawn_file_actions_addopen(&Files, STDIN_FILENO, "/dev/null",
                                     O_RDONLY, 0);
  ::posix_spawn_file_actions_addopen(&Files, STDOUT_FILENO,
                                     (Base + ".log").c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::posix_spawn_file_actions_adddup2(&Files, STDOUT_FILENO, STDERR_FILENO);
  pid_t Started = 0;
  bool IsStarted = ::posix_spawn(&Started, Program.c_str(), &Files, nullptr,
                                 Arguments, Environment) == 0;
  ::posix_spawn_file_actions_destroy(&Files);
  m_Process = IsStarted ? Started : 0;
  if (IsStarted)
    note(0, Started);
  return IsStarted;
}

void Daemon::signal(int Number) {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  if (m_Process > 0)
    ::kill(m_Process, Number);
}

void Daemon::kill() {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  if (m_Process <= 0)
    return;
  ::kill(m_Process, SIGKILL);
  ::waitpid(m_Process, nullptr, 0);
  note(m_Process, 0);
  m_Process = 0;
}

bool Daemon::hasEnded() {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  if (m_Process <= 0)
    return true;
  if (::waitpid(m_Process, nullptr, WNOHANG) != m_Process)
    return false;
  note(m_Process, 0);
  m_Process = 0;
  return true;
}

double Daemon::memoryMb() {
  std::lock_guard<std::mutex> Lock(m_Mutex);
  if (m_Process <= 0)
    return 0;
  std::string Status =
      readFile("/proc/" + std::to_string(m_Process) + "/status");
  std::size_t At = Status.find("RssAnon:");
  if (At == std::string::npos)
    return 0;
  return std::strtod(Status.c_str() + At + 8, nullptr) / 1024;
}

bool Daemon::isReady() const {
  Socket Asked = Socket::connectTo(ready());
  if (!Asked.isValid() || !Asked.send("GET /v1/readiness HTTP/1.1\r\nHost: " +
                                      m_Settings.m_Ip + "\r\n\r\n"))
    return false;
  MessageReader Reader(Asked);
  Head Answer;
  return Reader.readHead(Answer, 1) == ReadEnd::Data && Answer.status() == 200;
}

void endAllAfter(unsigned Seconds) {
  for (int Number : {SIGTERM, SIGINT, SIGHUP, SIGALRM})
    std::signal(Number, onEnd);
  ::alarm(Seconds);
}

std::string loopbackIp(int Index) {
  int Process = static_cast<int>(::getpid());
  return "127." + std::to_string(16 + Process / 250 % 200) + "." +
         std::to_string(Process % 250 + 1) + "." + std::to_string(Index);
}

} // namespace knapweedloft::review3
