#include "experiment/BenchRunner.h"
#include "experiment/Comparison.h"
#include "experiment/ExperimentError.h"

#include "CLI/CLI.hpp"
#include "fmt/format.h"

#include <cstdio>
#include <exception>
#include <string>
#include <vector>

namespace {

using namespace knapweedloft::experiment;

struct RunWords {
  std::string m_Plan;
  std::string m_Result = "experiment.json";
  BenchRunner::Options m_Runner;
};

struct CompareWords {
  std::string m_Result;
  std::string m_First;
  std::vector<std::string> m_Figures = {"worth", "served", "refused", "failed",
                                        "worst windows"};
};

void addRun(CLI::App &Program, RunWords &Words) {
  CLI::App *Run = Program.add_subcommand("run", "Play what is missing");
  Words.m_Runner.m_Repository = ".";
  Words.m_Runner.m_Folder = "experiment";
  Run->add_option("plan", Words.m_Plan, "Plan (TOML)")->required();
  Run->add_option("--bench", Words.m_Runner.m_Bench, "The bench's program")
      ->required();
  Run->add_option("--result", Words.m_Result, "Result file (JSON)");
  Run->add_option("--repository", Words.m_Runner.m_Repository,
                  "Repository of the product");
  Run->add_option("--folder", Words.m_Runner.m_Folder,
                  "For work trees, reports and output");
  Run->add_option("--jobs", Words.m_Runner.m_Jobs, "Plays at once")
      ->check(CLI::Range(1, 64));
}

void addCompare(CLI::App &Program, CompareWords &Words) {
  CLI::App *Compare =
      Program.add_subcommand("compare", "Print the differences of variants");
  Compare->add_option("result", Words.m_Result, "Result file")->required();
  Compare
      ->add_option("--first", Words.m_First,
                   "Variant that the others are compared with")
      ->required();
  Compare->add_option("--figures", Words.m_Figures, "Figures to show")
      ->delimiter(',');
}

int run(RunWords &Words) {
  Words.m_Runner.m_OnProgress = [](const std::string &Name,
                                   const std::string &Told, std::size_t Done,
                                   std::size_t All) {
    fmt::print(stderr, "{}/{} {}: {}\n", Done, All, Name, Told);
  };
  ResultFile Results(Words.m_Result);
  std::size_t Failed =
      BenchRunner(Words.m_Runner).run(loadPlan(Words.m_Plan), Results);
  return Failed == 0 ? 0 : 1;
}

int compare(const CompareWords &Words) {
  if (!std::filesystem::exists(Words.m_Result))
    throw ExperimentError(fmt::format("cannot read {}", Words.m_Result));
  Comparison Found(ResultFile(Words.m_Result).plays(), Words.m_First);
  fmt::print("{}", Found.markdown(Words.m_Figures));
  return 0;
}

} // namespace

int main(int Count, char **Words) {
  CLI::App Program("Plays variants of the product and compares them");
  Program.require_subcommand(1);
  RunWords Run;
  CompareWords Compare;
  addRun(Program, Run);
  addCompare(Program, Compare);
  CLI11_PARSE(Program, Count, Words);
  try {
    return Program.got_subcommand("run") ? run(Run) : compare(Compare);
  } catch (const std::exception &Error) {
    fmt::print(stderr, "{}\n", Error.what());
    return 2;
  }
}
