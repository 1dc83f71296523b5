#include "NodeCommand.h"

#include "FileWatch.h"
#include "SignalPipe.h"
#include "UsageError.h"
#include "adapter/AdapterError.h"
#include "adapter/PlatformNode.h"

#include <csignal>
#include <cstdlib>
#include <malloc.h>
#include <memory>
#include <string>
#include <unistd.h>

namespace knapweedloft {
namespace {

constexpr const char *SettingsVariable = "KNAPWEEDLOFT_SETTINGS";

/// Bodies and answers as large as this are blocks of their own, which the
/// kernel gets back when they are freed. Unless it is set, the allocator raises
/// it with the first large block and keeps what lies between others.
constexpr int OwnBlockBytes = 256 << 10;

adapter::AdapterSettings load(const std::string &Path) {
  try {
    return adapter::loadAdapterSettings(Path);
  } catch (const adapter::AdapterError &Error) {
    throw UsageError(Error.what());
  }
}

void run(const std::string &Path, bool IsCheck) {
  SignalPipe::hold();
  adapter::AdapterSettings Settings = load(Path);
  if (IsCheck)
    return;
  std::signal(SIGPIPE, SIG_IGN);
  mallopt(M_MMAP_THRESHOLD, OwnBlockBytes);
  mallopt(M_TRIM_THRESHOLD, OwnBlockBytes);
  telemetry::EventLog Log({.m_Sink = telemetry::descriptorSink(STDOUT_FILENO)});
  io::EventLoop Loop;
  adapter::PlatformNode Node(Loop, Settings, Log);
  SignalPipe Signals(Loop, [&](int Signal) {
    if (Signal == SIGHUP)
      Node.reload(Path, "signal");
    else
      Node.beginStop([&Loop] { Loop.stop(); });
  });
  FileWatch Changes(Loop, Path, [&] { Node.reload(Path, "file"); });
  Node.start();
  Loop.run();
  Log.flush(absl::Now());
}

} // namespace

void addNodeCommand(CLI::App &Program) {
  CLI::App *Command = Program.add_subcommand(
      "node", "Run the daemon of this VM on the users' platform");
  auto Path = std::make_shared<std::string>();
  auto IsCheck = std::make_shared<bool>(false);
  Command->footer("It runs on one thread until SIGTERM, which is a planned "
                  "stop; SIGHUP reads the settings again.\n"
                  "Example:\n"
                  "  KNAPWEEDLOFT_SETTINGS=node.toml knapweedloft node");
  Command->add_option("--settings", *Path, "TOML file with the settings")
      ->envname(SettingsVariable)
      ->required()
      ->type_name("FILE");
  Command->add_flag("--check", *IsCheck, "Check the settings and end");
  Command->callback([Path, IsCheck] { run(*Path, *IsCheck); });
}

} // namespace knapweedloft
