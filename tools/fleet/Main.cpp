#include "CostFigures.h"
#include "RateFigures.h"

#include <CLI/CLI.hpp>

#include <cstdint>
#include <string>
#include <vector>

int main(int Count, char **Arguments) {
  CLI::App Parser("Figures of a fleet: rates, spread, withdrawals");
  std::uint64_t Seed = 1;
  Parser.add_option("--seed", Seed, "Seed of every random choice");
  std::vector<std::string> Parts{"rates", "cost"};
  Parser.add_option("--parts", Parts, "What to measure: rates, cost");
  CLI11_PARSE(Parser, Count, Arguments);
  knapweedloft::fleet::Figures Out;
  for (const std::string &Part : Parts) {
    if (Part == "rates")
      knapweedloft::fleet::measureRates(Seed, Out);
    else if (Part == "cost")
      knapweedloft::fleet::measureCost(Seed, Out);
  }
  fmt::print("fleet seed={}{} result={}\n", Seed, Out.line(),
             Out.isShort() ? "short" : "ok");
  return Out.isShort() ? 1 : 0;
}
