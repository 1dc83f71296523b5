#include "harness/Process.h"

#include "harness/HarnessError.h"

#include "fmt/format.h"

#include <cerrno>
#include <charconv>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace knapweedloft::harness {
namespace {

constexpr int SignalCodeBase = 128;
constexpr mode_t LogMode = 0644;

struct Pipe {
  Pipe() {
    int Ends[2];
    if (pipe2(Ends, O_CLOEXEC) != 0)
      throw HarnessError("no pipe");
    m_Read = Ends[0];
    m_Write = Ends[1];
  }
  int m_Read;
  int m_Write;
};

/// Signals that the tool itself blocks must reach the child.
void clearSignalMask(posix_spawnattr_t &Attributes) {
  sigset_t None;
  sigemptyset(&None);
  posix_spawnattr_setsigmask(&Attributes, &None);
  posix_spawnattr_setflags(&Attributes, POSIX_SPAWN_SETSIGMASK);
}

} // namespace

Process::Process(const std::vector<std::string> &Command,
                 const std::string &LogPath) {
  Pipe Output;
  Pipe Errors;
  posix_spawn_file_actions_t Actions;
  posix_spawn_file_actions_init(&Actions);
  posix_spawn_file_actions_addopen(&Actions, STDIN_FILENO, "/dev/null",
                                   O_RDONLY, 0);
  if (LogPath.empty())
    posix_spawn_file_actions_adddup2(&Actions, Output.m_Write, STDOUT_FILENO);
  else
    posix_spawn_file_actions_addopen(&Actions, STDOUT_FILENO, LogPath.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, LogMode);
  posix_spawn_file_actions_adddup2(&Actions, Errors.m_Write, STDERR_FILENO);
  posix_spawnattr_t Attributes;
  posix_spawnattr_init(&Attributes);
  clearSignalMask(Attributes);
  std::vector<char *> Arguments;
  Arguments.reserve(Command.size() + 1);
  for (const std::string &Word : Command)
    Arguments.push_back(const_cast<char *>(Word.c_str()));
  Arguments.push_back(nullptr);
  int Error = posix_spawn(&m_Id, Arguments[0], &Actions, &Attributes,
                          Arguments.data(), environ);
  posix_spawnattr_destroy(&Attributes);
  posix_spawn_file_actions_destroy(&Actions);
  close(Output.m_Write);
  close(Errors.m_Write);
  m_Output.start(Output.m_Read);
  m_Errors.start(Errors.m_Read);
  if (Error != 0)
    throw HarnessError(
        fmt::format("cannot start {}: {}", Command[0], std::strerror(Error)));
}

Process::~Process() {
  if (isRunning()) {
    signal(SIGKILL);
    wait();
  }
}

std::string Process::awaitLine(std::string_view Text) {
  std::optional<std::string> Line = m_Errors.await(Text);
  if (!Line)
    throw HarnessError(fmt::format("process {} ended without '{}':\n{}", m_Id,
                                   Text, errors()));
  return *Line;
}

std::uint16_t Process::awaitPort(std::string_view Text) {
  constexpr std::string_view Field = "port=";
  std::string Line = awaitLine(Text);
  std::size_t At = Line.find(Field);
  std::uint16_t Port = 0;
  if (At != std::string::npos)
    std::from_chars(Line.data() + At + Field.size(), Line.data() + Line.size(),
                    Port);
  if (Port == 0)
    throw HarnessError(fmt::format("no port in '{}'", Line));
  return Port;
}

void Process::signal(int Signal) const {
  if (!m_Code)
    kill(m_Id, Signal);
}

bool Process::reap(int Options) {
  if (m_Code)
    return true;
  int Status = 0;
  pid_t Reaped = 0;
  do
    Reaped = waitpid(m_Id, &Status, Options);
  while (Reaped < 0 && errno == EINTR);
  if (Reaped == 0)
    return false;
  m_Code = WIFEXITED(Status) ? WEXITSTATUS(Status)
                             : SignalCodeBase + WTERMSIG(Status);
  return true;
}

bool Process::isRunning() { return m_Id > 0 && !reap(WNOHANG); }

int Process::wait() {
  reap(0);
  m_Output.awaitEnd();
  m_Errors.awaitEnd();
  return *m_Code;
}

} // namespace knapweedloft::harness
