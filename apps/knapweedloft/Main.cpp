#include "ApplyCommand.h"
#include "CheckCommand.h"
#include "DeleteCommand.h"
#include "ExitCode.h"
#include "ExplainCommand.h"
#include "GetCommand.h"
#include "LossesCommand.h"
#include "NodeCommand.h"
#include "ReportCommand.h"
#include "RunCommand.h"
#include "UsageError.h"
#include "WatchCommand.h"
#include "app/SettingsError.h"

#include "absl/synchronization/mutex.h"

#include "CLI/CLI.hpp"
#include "fmt/format.h"

#include <cstdio>
#include <exception>

namespace knapweedloft {
namespace {

constexpr const char *Description =
    "knapweedloft: overload control for service call graphs.\n"
    "One daemon runs beside each target and takes callers' HTTP requests.";

constexpr const char *Footer =
    "A first look:\n"
    "  knapweedloft check --settings docs/operators/example.toml\n"
    "`knapweedloft SUBCOMMAND --help` lists the options of a subcommand.\n"
    "\n"
    "Exit codes: 0 done; 1 tried and failed; 2 wrong arguments, settings or\n"
    "input, nothing was tried; 3 refused: a race was lost or the resource "
    "does\n"
    "not allow it; 4 not known or not in force everywhere in time.";

int codeOf(ExitCode Code) { return static_cast<int>(Code); }

int run(int Count, char **Arguments) {
  CLI::App App(Description, "knapweedloft");
  App.footer(Footer);
  App.set_version_flag("--version", "knapweedloft " KNAPWEEDLOFT_VERSION);
  App.require_subcommand(1);
  addRunCommand(App);
  addNodeCommand(App);
  addExplainCommand(App);
  addLossesCommand(App);
  addCheckCommand(App);
  addReportCommand(App);
  addApplyCommand(App);
  addGetCommand(App);
  addDeleteCommand(App);
  addWatchCommand(App);
  try {
    App.parse(Count, Arguments);
  } catch (const CLI::ParseError &Error) {
    return App.exit(Error) == 0 ? codeOf(ExitCode::Ok)
                                : codeOf(ExitCode::BadUsage);
  }
  return codeOf(ExitCode::Ok);
}

} // namespace
} // namespace knapweedloft

int main(int Count, char **Arguments) {
  using namespace knapweedloft;
  // Debian's Abseil looks for deadlock cycles, under one lock of the process.
  absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
  try {
    return run(Count, Arguments);
  } catch (const Exit &Early) {
    return codeOf(Early.m_Code);
  } catch (const UsageError &Error) {
    fmt::print(stderr, "knapweedloft: {}\n", Error.what());
    return codeOf(ExitCode::BadUsage);
  } catch (const app::SettingsError &Error) {
    fmt::print(stderr, "knapweedloft: {}\n", Error.what());
    return codeOf(ExitCode::BadUsage);
  } catch (const std::exception &Error) {
    fmt::print(stderr, "knapweedloft: {}\n", Error.what());
    return codeOf(ExitCode::Failed);
  }
}
