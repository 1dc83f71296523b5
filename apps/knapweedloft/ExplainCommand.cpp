#include "ExplainCommand.h"

#include "ExitCode.h"
#include "UsageError.h"
#include "telemetry/RequestTrace.h"

#include "fmt/format.h"

#include <fstream>
#include <memory>
#include <string>
#include <vector>

namespace knapweedloft {
namespace {

void explain(const std::string &Id, const std::vector<std::string> &Files) {
  telemetry::RequestTrace Trace(Id);
  for (const std::string &Path : Files) {
    std::ifstream Log(Path);
    if (!Log)
      throw UsageError(fmt::format("cannot read {}", Path));
    Trace.read(Path, Log);
  }
  fmt::print("{}", Trace.text());
  if (Trace.found() == 0)
    throw Exit{ExitCode::NotInTime};
}

} // namespace

void addExplainCommand(CLI::App &Program) {
  CLI::App *Command = Program.add_subcommand(
      "explain", "Join logs to the course of one request");
  auto Id = std::make_shared<std::string>();
  auto Files = std::make_shared<std::vector<std::string>>();
  Command->footer("Prints the request's lines in the order of their time and\n"
                  "the processes that have none. Exit code 4 if none has.\n"
                  "Example:\n"
                  "  knapweedloft explain --id 9c41d07be2a35f68 *.log");
  Command->add_option("--id", *Id, "The caller's name for the request")
      ->required();
  Command->add_option("files", *Files, "Logs, one a process or collected")
      ->required()
      ->type_name("FILE");
  Command->callback([Id, Files] { explain(*Id, *Files); });
}

} // namespace knapweedloft
