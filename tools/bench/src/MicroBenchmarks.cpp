#include "bench/MicroBenchmarks.h"

#include "harness/HarnessError.h"
#include "harness/ProgramResult.h"

#include "fmt/format.h"

#include <nlohmann/json.hpp>

namespace knapweedloft::bench {
namespace {

double nanosecondsPer(const std::string &Unit) {
  if (Unit == "us")
    return 1e3;
  if (Unit == "ms")
    return 1e6;
  return Unit == "s" ? 1e9 : 1;
}

} // namespace

std::vector<MicroResult> runMicroBenchmarks(const std::string &Program) {
  harness::ProgramResult Run = harness::runProgram(
      {Program, "--benchmark_format=json", "--benchmark_min_time=0.1"});
  if (Run.m_Code != 0)
    throw harness::HarnessError(
        fmt::format("{} ended with {}", Program, Run.m_Code));
  std::vector<MicroResult> Results;
  const auto Json = nlohmann::json::parse(Run.m_Output);
  for (const auto &One : Json.at("benchmarks")) {
    MicroResult Result;
    Result.m_Name = One.at("name").get<std::string>();
    Result.m_Nanoseconds =
        One.at("cpu_time").get<double>() *
        nanosecondsPer(One.at("time_unit").get<std::string>());
    for (const char *Name : {"allocations", "allocs"})
      if (One.contains(Name))
        Result.m_Allocations = One.at(Name).get<double>();
    Results.push_back(std::move(Result));
  }
  return Results;
}

} // namespace knapweedloft::bench
