#include "LimitTrial.h"

#include "CLI/CLI.hpp"

int main(int ArgumentCount, char **Arguments) {
  CLI::App Program("Decisions under load, in virtual time");
  std::uint64_t Seed = 1;
  bool IsLimits = false;
  Program.add_option("--seed", Seed, "seed of all randomness");
  Program.add_flag("--limits", IsLimits, "compare ways to limit concurrency");
  CLI11_PARSE(Program, ArgumentCount, Arguments);
  return knapweedloft::faults::printLimitTable(Seed) ? 0 : 1;
}
