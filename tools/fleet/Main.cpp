#include "CostFigures.h"
#include "FleetSite.h"
#include "RateFigures.h"
#include "ServiceFigures.h"
#include "SpreadFigures.h"

#include <CLI/CLI.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace {

void measureReal(std::uint64_t Seed, knapweedloft::fleet::Figures &Out) {
  knapweedloft::fleet::FleetSite Fleet;
  knapweedloft::fleet::measureService(Fleet, Seed, Out);
  knapweedloft::fleet::measureSpread(Fleet, Out);
}

} // namespace

int main(int Count, char **Arguments) {
  CLI::App Parser("Figures of a fleet: rates, spread, withdrawals");
  std::uint64_t Seed = 1;
  Parser.add_option("--seed", Seed, "Seed of every random choice");
  std::vector<std::string> Parts{"rates", "cost", "real"};
  Parser.add_option("--parts", Parts,
                    "rates, cost (virtual time), real (30 daemons)");
  CLI11_PARSE(Parser, Count, Arguments);
  knapweedloft::fleet::Figures Out;
  for (const std::string &Part : Parts) {
    if (Part == "rates")
      knapweedloft::fleet::measureRates(Seed, Out);
    else if (Part == "cost")
      knapweedloft::fleet::measureCost(Seed, Out);
    else if (Part == "real")
      measureReal(Seed, Out);
  }
  fmt::print("fleet seed={}{} result={}\n", Seed, Out.line(),
             Out.isShort() ? "short" : "ok");
  return Out.isShort() ? 1 : 0;
}
