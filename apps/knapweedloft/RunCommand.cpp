#include "RunCommand.h"

#include "app/Daemon.h"
#include "app/Log.h"
#include "app/SettingsFile.h"

#include <csignal>
#include <memory>
#include <string>

namespace knapweedloft {
namespace {

constexpr app::Log DaemonLog{"daemon"};

/// Blocks the signals that ask for a stop in this thread and every later one,
/// so that waitForStop() alone receives them.
sigset_t blockStopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return Signals;
}

int waitForStop(const sigset_t &Signals) {
  int Received = 0;
  sigwait(&Signals, &Received);
  return Received;
}

void run(const std::string &SettingsPath) {
  app::Settings Settings = app::loadSettings(SettingsPath);
  app::Log::setLevel(Settings.m_LogOutput.m_Level);
  sigset_t Signals = blockStopSignals();
  app::Daemon Running(Settings);
  waitForStop(Signals);
  DaemonLog.info("Stopping.");
  std::size_t Left = Running.stop();
  DaemonLog.info("Stopped.", {{"in_flight", Left}});
}

} // namespace

void addRunCommand(CLI::App &Program) {
  CLI::App *Command =
      Program.add_subcommand("run", "Run the daemon of this VM");
  auto Path = std::make_shared<std::string>();
  Command->footer("It runs until SIGTERM or SIGINT, which is a planned stop.\n"
                  "Example:\n"
                  "  knapweedloft run --settings /etc/knapweedloft.toml");
  Command->add_option("--settings", *Path, "TOML file with the settings")
      ->required()
      ->type_name("FILE");
  Command->callback([Path] { run(*Path); });
}

} // namespace knapweedloft
