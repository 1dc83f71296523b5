#include "ControlSlopes.h"
#include "DaemonSlopes.h"
#include "Sheet.h"
#include "StateSlopes.h"

#include "CLI/CLI.hpp"
#include "fmt/format.h"

#include <cstdint>
#include <exception>
#include <string>

int main(int Count, char **Arguments) {
  CLI::App Program("Measures the slopes behind docs/CAPACITY.md");
  std::uint64_t Seed = 1;
  Program.add_option("--seed", Seed, "Seed of the fake fleet's chance");
  std::string Only;
  Program
      .add_option("--only", Only, "Beside the state, measure this part only")
      ->check(CLI::IsMember({"control", "daemons"}));
  CLI11_PARSE(Program, Count, Arguments);
  try {
    knapweedloft::capacity::Sheet Page;
    double StateMemory = knapweedloft::capacity::measureState(Page);
    if (Only.empty() || Only == "control")
      knapweedloft::capacity::measureControl(Page, Seed);
    if (Only.empty() || Only == "daemons")
      knapweedloft::capacity::measureDaemons(Page, StateMemory);
    fmt::print("capacity seed={} rows={} short={}\n", Seed, Page.rows(),
               Page.shortRows());
    return Page.shortRows() == 0 ? 0 : 1;
  } catch (const std::exception &Error) {
    fmt::print(stderr, "capacity: {}\n", Error.what());
    return 2;
  }
}
