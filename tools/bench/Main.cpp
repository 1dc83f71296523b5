#include "bench/BenchSite.h"
#include "bench/Latencies.h"
#include "bench/LoopbackFloor.h"
#include "bench/MicroBenchmarks.h"

#include "absl/synchronization/mutex.h"

#include <CLI/CLI.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <thread>

namespace {

using namespace knapweedloft;
using Way = bench::BenchSite::Way;

constexpr double ModerateRate = 1000;
constexpr int Rounds = 5;
constexpr absl::Duration RoundTime = absl::Seconds(2);
constexpr double AddedP99TargetUs = 400;
constexpr double DecisionTargetNs = 1000;
/// A rate is sustained if this share succeeds and the p99 stays below the
/// limit.
constexpr double SustainedShare = 0.99;
constexpr absl::Duration SustainedP99 = absl::Milliseconds(50);
constexpr double FirstRate = 2000;
constexpr double RateStep = 1.5;
constexpr double LastRate = 100000;

class Bench {
public:
  explicit Bench(std::uint64_t Seed) : m_Seed(Seed) {}

  int run() {
    fmt::print("{} processors, seed {}\n", std::thread::hardware_concurrency(),
               m_Seed);
    measureLatency();
    measureThroughput();
    measureMicro();
    fmt::print("bench added_p50_us={:.0f} added_p99_us={:.0f} "
               "added_p999_us={:.0f} floor_p99_us={:.0f} calls_per_s={:.0f} "
               "calls_per_core_s={:.0f} daemon_kb={} short={}\n",
               added(0.5), added(0.99), added(0.999), m_Floor.quantile(0.99),
               m_BestRate, m_CallsPerCore, m_Kilobytes, m_Short);
    return m_Short == 0 ? 0 : 1;
  }

private:
  double added(double Quantile) const {
    return m_Through.quantile(Quantile) - m_Direct.quantile(Quantile);
  }

  void check(bool IsMet, const std::string &What) {
    m_Short += IsMet ? 0 : 1;
    fmt::print("  {:5} {}\n", IsMet ? "ok" : "short", What);
    std::fflush(stdout);
  }

  void measureLatency() {
    fmt::print("\nLatency at {:.0f} calls a second, {} rounds of {} in turns\n",
               ModerateRate, Rounds, absl::FormatDuration(RoundTime));
    std::uint64_t Failed = 0;
    for (int Round = 0; Round < Rounds; ++Round) {
      std::uint64_t Seed = m_Seed + static_cast<std::uint64_t>(Round);
      auto Direct = m_Site.send(Way::Direct, ModerateRate, RoundTime, Seed);
      auto Through = m_Site.send(Way::Through, ModerateRate, RoundTime, Seed);
      m_Direct.add(Direct.m_Latencies);
      m_Through.add(Through.m_Latencies);
      m_Floor.add(bench::measureLoopbackFloor(
          {.m_RequestBytes = bench::BenchSite::RequestBytes,
           .m_AnswerBytes = bench::BenchSite::AnswerBytes,
           .m_PerSecond = ModerateRate,
           .m_Duration = RoundTime,
           .m_Seed = Seed}));
      Failed += Through.total().m_Calls - Through.total().m_Succeeded;
    }
    fmt::print("  {:<9}{:>9}{:>9}{:>9}{:>9}{:>14}\n", "us", "direct", "through",
               "added", "floor", "added/floor");
    for (auto [Name, Quantile] :
         {std::pair{"p50", 0.5}, {"p99", 0.99}, {"p99.9", 0.999}})
      fmt::print("  {:<9}{:>9.0f}{:>9.0f}{:>9.0f}{:>9.0f}{:>14.1f}\n", Name,
                 m_Direct.quantile(Quantile), m_Through.quantile(Quantile),
                 added(Quantile), m_Floor.quantile(Quantile),
                 added(Quantile) / m_Floor.quantile(Quantile));
    check(Failed == 0, fmt::format("every call succeeds ({} did not)", Failed));
    check(added(0.99) < AddedP99TargetUs,
          fmt::format("added at p99 {:.0f} us, target under {:.0f} us",
                      added(0.99), AddedP99TargetUs));
  }

  void measureThroughput() {
    fmt::print("\nCalls a second through both daemons, one caller\n");
    for (double Rate = FirstRate; Rate <= LastRate; Rate *= RateStep) {
      bench::ProcessCost Before = m_Site.daemonCost();
      auto Report = m_Site.send(Way::Through, Rate, RoundTime, m_Seed);
      bench::ProcessCost After = m_Site.daemonCost();
      const double Cores =
          absl::ToDoubleSeconds(After.m_ProcessorTime - Before.m_ProcessorTime);
      const auto Succeeded = static_cast<double>(Report.total().m_Succeeded);
      const double Goodput =
          Succeeded / absl::ToDoubleSeconds(Report.m_Duration);
      fmt::print("  sent {:>6.0f}/s  goodput {:>6.0f}/s  p99 {:>8.0f} us  "
                 "{:>6.0f} calls a core second\n",
                 Rate, Goodput,
                 absl::ToDoubleMicroseconds(Report.latency(0.99)),
                 Succeeded / Cores);
      std::fflush(stdout);
      m_Kilobytes = std::max(m_Kilobytes, After.m_ResidentKilobytes);
      const auto Calls = static_cast<double>(Report.total().m_Calls);
      if (Succeeded < SustainedShare * Calls ||
          Report.latency(0.99) > SustainedP99)
        break;
      m_BestRate = Goodput;
      m_CallsPerCore = Succeeded / Cores;
    }
    fmt::print("  memory of the larger daemon: {} KB\n", m_Kilobytes);
  }

  /// The target holds for decisions; the rest is shown for comparison.
  void measureMicro() {
    showMicro("policy_benchmarks", true);
    showMicro("state_benchmarks", false);
  }

  void showMicro(const char *Program, bool IsDecision) {
    if (!std::filesystem::exists(harness::programPath(Program)))
      return;
    fmt::print("\n{}\n", Program);
    for (const auto &One : bench::runMicroBenchmarks(Program)) {
      std::string Line =
          fmt::format("{:<56} {:>12.0f} ns", One.m_Name, One.m_Nanoseconds);
      if (One.m_Allocations)
        Line += fmt::format("  {} allocations", *One.m_Allocations);
      if (IsDecision)
        check(One.m_Nanoseconds < DecisionTargetNs, Line);
      else
        fmt::print("        {}\n", Line);
    }
  }

  std::uint64_t m_Seed;
  bench::BenchSite m_Site;
  bench::Latencies m_Direct;
  bench::Latencies m_Through;
  bench::Latencies m_Floor;
  double m_BestRate = 0;
  double m_CallsPerCore = 0;
  std::uint64_t m_Kilobytes = 0;
  int m_Short = 0;
};

} // namespace

int main(int Count, char **Arguments) {
  absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
  CLI::App App{"What daemons cost, on real processes over loopback."};
  std::uint64_t Seed = 1;
  App.add_option("--seed", Seed, "Of the gaps between calls");
  CLI11_PARSE(App, Count, Arguments);
  try {
    return Bench(Seed).run();
  } catch (const std::exception &Error) {
    fmt::print(stderr, "error: {}\n", Error.what());
    return 1;
  }
}
