#include "LimitTrial.h"
#include "Trial.h"

#include "CLI/CLI.hpp"
#include "fmt/format.h"

#include <cstdio>
#include <string>
#include <vector>

namespace knapweedloft::faults {
namespace {

constexpr double GoodputTarget = 0.95;
constexpr double RecoveryTarget = 2;
constexpr double WorstServedTarget = 0.95;
constexpr double WronglyRefusedTarget = 5;

/// What the command line asks for.
struct Options {
  std::uint64_t m_Seed = 1;
  bool m_IsLimits = false;
  bool m_IsTraced = false;
  std::vector<std::string> m_Without;
  std::string m_Case;
  std::string m_Deployment;
};

bool isMet(const TrialResult &Result) {
  return Result.m_Goodput >= GoodputTarget &&
         Result.m_Recovery <= RecoveryTarget &&
         Result.m_WorstServed >= WorstServedTarget &&
         Result.m_WronglyRefused <= WronglyRefusedTarget;
}

Mechanisms mechanismsWithout(const std::vector<std::string> &Names) {
  Mechanisms InUse;
  for (const std::string &Name : Names) {
    if (Name == "all") {
      InUse.removeAll();
      continue;
    }
    auto One = MechanismNames.valueOf(Name);
    if (!One)
      throw CLI::ValidationError("--without", "no mechanism " + Name);
    InUse.remove(*One);
  }
  return InUse;
}

void printHeader() {
  fmt::print("{:<12} {:<18} {:>8} {:>9} {:>7} {:>8} {:>8} {:>6} {:>9} {}\n",
             "deployment", "case", "goodput", "recover-s", "worst", "wrong",
             "by-rate", "falls", "forwards", "");
  fmt::print("{:<12} {:<18} {:>8} {:>9} {:>7} {:>8}\n", "", "target", ">= 0.95",
             "<= 2", ">= 0.95", "<= 5");
}

/// \returns the number of cases that miss a target.
int printTable(const Options &Asked) {
  Mechanisms InUse = mechanismsWithout(Asked.m_Without);
  int Missed = 0;
  int Count = 0;
  printHeader();
  for (const Deployment &Spec : {cooperative(), punteSicure()})
    for (std::size_t Index = 0; Index < FaultCaseCount; ++Index) {
      auto Case = static_cast<FaultCase>(Index);
      std::string Name(FaultCaseNames.nameOf(Case));
      if (!Asked.m_Case.empty() && Asked.m_Case != Name)
        continue;
      if (!Asked.m_Deployment.empty() && Asked.m_Deployment != Spec.m_Name)
        continue;
      Trial Run(Spec, Case, InUse, Asked.m_Seed);
      if (Asked.m_IsTraced)
        Run.setTraced();
      TrialResult Result = Run.run();
      bool IsMet = isMet(Result);
      Missed += IsMet ? 0 : 1;
      ++Count;
      fmt::print(
          "{:<12} {:<18} {:>8.3f} {:>9.1f} {:>7.3f} {:>8.1f} {:>8.1f} {:>6} "
          "{:>9.2f} {}\n",
          Spec.m_Name, Name, Result.m_Goodput, Result.m_Recovery,
          Result.m_WorstServed, Result.m_WronglyRefused,
          Result.m_RefusedOverRate, Result.m_Falls, Result.m_Forwards,
          IsMet ? "ok" : "short");
      std::fflush(stdout);
    }
  fmt::print("faults cases={} short={} seed={} without={}\n", Count, Missed,
             Asked.m_Seed,
             Asked.m_Without.empty()
                 ? "nothing"
                 : fmt::format("{}", fmt::join(Asked.m_Without, ",")));
  return Missed;
}

int runProgram(int ArgumentCount, char **Arguments) {
  CLI::App Program("Decisions under load, in virtual time");
  Options Asked;
  Program.add_option("--seed", Asked.m_Seed, "seed of all randomness");
  Program.add_flag("--limits", Asked.m_IsLimits,
                   "compare ways to limit concurrency");
  Program.add_flag("--trace", Asked.m_IsTraced,
                   "print goodput and loads every second");
  Program.add_option("--without", Asked.m_Without,
                     "mechanisms to switch off, or all");
  Program.add_option("--case", Asked.m_Case, "this fault case only");
  Program.add_option("--deployment", Asked.m_Deployment,
                     "this deployment only");
  CLI11_PARSE(Program, ArgumentCount, Arguments);
  if (Asked.m_IsLimits)
    return printLimitTable(Asked.m_Seed) ? 0 : 1;
  return printTable(Asked) == 0 ? 0 : 1;
}

} // namespace
} // namespace knapweedloft::faults

int main(int ArgumentCount, char **Arguments) {
  return knapweedloft::faults::runProgram(ArgumentCount, Arguments);
}
