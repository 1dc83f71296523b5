#include "LossesCommand.h"

#include "UsageError.h"
#include "telemetry/LossTable.h"

#include "fmt/format.h"

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <unistd.h>
#include <vector>

namespace knapweedloft {
namespace {

struct LossesOptions {
  std::vector<std::string> m_Files;
  double m_Seconds = 1;
  bool m_IsJson = false;
};

/// Tells on a terminal how far a file has been read.
void tellProgress(const std::string &Path, std::uint64_t Bytes) {
  std::error_code Ignored;
  auto Size = std::filesystem::file_size(Path, Ignored);
  double Share = Ignored || Size == 0
                     ? 0
                     : static_cast<double>(Bytes) / static_cast<double>(Size);
  fmt::print(stderr, "\r{} {:3.0f}%", Path, 100 * Share);
}

void printLosses(const LossesOptions &Words) {
  bool IsTerminal = ::isatty(STDERR_FILENO) == 1;
  telemetry::LossTable::Options Options;
  Options.m_Interval = absl::Seconds(Words.m_Seconds);
  if (IsTerminal)
    Options.m_OnProgress = tellProgress;
  telemetry::LossTable Table(std::move(Options));
  for (const std::string &Path : Words.m_Files) {
    std::ifstream Log(Path);
    if (!Log)
      throw UsageError(fmt::format("cannot read {}", Path));
    Table.read(Path, Log);
  }
  if (IsTerminal)
    fmt::print(stderr, "\r\x1b[K");
  fmt::print("{}", Words.m_IsJson ? Table.json() : Table.text());
}

} // namespace

void addLossesCommand(CLI::App &Program) {
  CLI::App *Command = Program.add_subcommand(
      "losses", "Count from logs what became of requests");
  auto Words = std::make_shared<LossesOptions>();
  Command->footer(
      "Counts requests that were answered in time or late, refused\n"
      "and failed, by time, route and reason.\n"
      "Example:\n"
      "  knapweedloft losses --by 2 *.log");
  Command
      ->add_option("--by", Words->m_Seconds,
                   "Length of an interval, in seconds")
      ->check(CLI::Range(0.1, 86'400.0));
  Command->add_flag("--json", Words->m_IsJson, "Print JSON instead of tables");
  Command
      ->add_option("files", Words->m_Files, "Logs, one a process or collected")
      ->required()
      ->type_name("FILE");
  Command->callback([Words] { printLosses(*Words); });
}

} // namespace knapweedloft
