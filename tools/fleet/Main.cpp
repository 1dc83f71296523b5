#include "RateFigures.h"

#include <CLI/CLI.hpp>

#include <cstdint>

int main(int Count, char **Arguments) {
  CLI::App Parser("Figures of a fleet: rates, spread, withdrawals");
  std::uint64_t Seed = 1;
  Parser.add_option("--seed", Seed, "Seed of every random choice");
  CLI11_PARSE(Parser, Count, Arguments);
  knapweedloft::fleet::Figures Out;
  knapweedloft::fleet::measureRates(Seed, Out);
  fmt::print("fleet seed={}{} result={}\n", Seed, Out.line(),
             Out.isShort() ? "short" : "ok");
  return Out.isShort() ? 1 : 0;
}
