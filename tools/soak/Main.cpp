#include "soak/Soak.h"

#include "CLI/CLI.hpp"
#include "fmt/format.h"

#include <cstdio>
#include <exception>
#include <filesystem>

namespace {

using namespace knapweedloft::soak;

/// \returns the number of breaches.
std::uint64_t runSeed(SoakOptions Settings) {
  Settings.m_Directory =
      fmt::format("{}/seed-{}", Settings.m_Directory, Settings.m_Seed);
  std::filesystem::remove_all(Settings.m_Directory);
  std::filesystem::create_directories(Settings.m_Directory);
  Soak Run(Settings, [](const std::string &Line) {
    fmt::print("{}\n", Line);
    std::fflush(stdout);
  });
  Soak::Figures Seen = Run.run();
  fmt::print("seed={} sent={} answered={} succeeded={} runs={} faults={} "
             "end={:.3f} breaches={}\n",
             Settings.m_Seed, Seen.m_Sent, Seen.m_Answered, Seen.m_Succeeded,
             Seen.m_Runs, Seen.m_Faults, Seen.m_EndPart, Seen.m_Breaches);
  std::fflush(stdout);
  return Seen.m_Breaches;
}

} // namespace

int main(int Count, char **Words) {
  CLI::App Program("Disturbs daemons from outside and checks their promises");
  SoakOptions Settings;
  Settings.m_Program =
      (std::filesystem::path(Words[0]).parent_path() / "knapweedloft").string();
  Settings.m_Directory = "/tmp/knapweedloft-soak";
  double Minutes = 0.5;
  std::uint64_t Seeds = 1;
  bool IgnoresTimes = false;
  Program.add_option("--seed", Settings.m_Seed, "Of the first run");
  Program.add_option("--seeds", Seeds, "Runs, each with the next seed");
  Program.add_option("--minutes", Minutes, "With faults, each run")
      ->check(CLI::PositiveNumber);
  Program.add_option("--vms", Settings.m_Vms)->check(CLI::Range(2, 250));
  Program
      .add_option("--rate", Settings.m_RequestsPerSecond,
                  "Requests a second at each VM")
      ->check(CLI::PositiveNumber);
  Program.add_option("--program", Settings.m_Program, "The daemon")
      ->check(CLI::ExistingFile);
  Program.add_option("--directory", Settings.m_Directory,
                     "For settings and logs; a folder a seed is replaced");
  Program.add_flag("--no-times", IgnoresTimes,
                   "Check no bounds of time, for a busy machine");
  Program.add_flag("--tell", Settings.m_IsTold, "Print each fault");
  CLI11_PARSE(Program, Count, Words);
  Settings.m_Length = absl::Minutes(Minutes);
  Settings.m_ChecksTimes = !IgnoresTimes;
  try {
    std::uint64_t Breaches = 0;
    for (; Seeds > 0; --Seeds, ++Settings.m_Seed)
      Breaches += runSeed(Settings);
    return Breaches > 0 ? 1 : 0;
  } catch (const std::exception &Error) {
    fmt::print(stderr, "soak: {}\n", Error.what());
    return 2;
  }
}
