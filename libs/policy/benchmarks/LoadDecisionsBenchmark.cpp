#include "policy/Admission.h"
#include "policy/EarlyRefusal.h"
#include "policy/RetryPolicy.h"
#include "policy/TargetChooser.h"

#include "benchmark/benchmark.h"

#include <atomic>
#include <cstdlib>
#include <new>
#include <random>

namespace {

std::atomic<std::uint64_t> Allocations{0};

} // namespace

[[gnu::noinline]] void *operator new(std::size_t Size) {
  ++Allocations;
  if (void *Memory = std::malloc(Size))
    return Memory;
  throw std::bad_alloc();
}
[[gnu::noinline]] void operator delete(void *Memory) noexcept {
  std::free(Memory);
}
[[gnu::noinline]] void operator delete(void *Memory,
                                       std::size_t /*Size*/) noexcept {
  std::free(Memory);
}

namespace knapweedloft::policy {
namespace {

/// Reports the mean number of allocations per iteration.
class AllocationCount {
public:
  explicit AllocationCount(benchmark::State &State)
      : m_State(State), m_Before(Allocations) {}
  ~AllocationCount() {
    m_State.counters["allocations"] =
        benchmark::Counter(static_cast<double>(Allocations - m_Before),
                           benchmark::Counter::kAvgIterations);
  }

private:
  benchmark::State &m_State;
  std::uint64_t m_Before;
};

constexpr absl::Duration Latency = absl::Milliseconds(20);

/// One request at a target side with free slots.
void BM_Admission_FreeSlot(benchmark::State &State) {
  absl::Time Now = absl::UnixEpoch();
  Admission Control({}, Now);
  std::vector<TicketId> Run;
  std::vector<AdmissionRefusal> Refused;
  TicketId Id = 1;
  AllocationCount Count(State);
  for (auto _ : State) {
    Now += absl::Microseconds(10);
    benchmark::DoNotOptimize(Control.offer({.m_Id = Id}, Now));
    Control.finish(Id++, RunOutcome::Success, Latency, Now);
    Control.poll(Now, Run, Refused);
  }
}
BENCHMARK(BM_Admission_FreeSlot);

/// One request at a target side without free slots; the argument is the number
/// of customers with queued requests.
void BM_Admission_Queued(benchmark::State &State) {
  absl::Time Now = absl::UnixEpoch();
  Admission Control({.m_UseAdaptiveLimit = false, .m_FixedLimit = 64}, Now);
  auto Customers = static_cast<std::uint32_t>(State.range(0));
  std::vector<TicketId> Run;
  std::vector<AdmissionRefusal> Refused;
  Run.reserve(4096);
  Refused.reserve(4096);
  TicketId Id = 1;
  TicketId Running = 1;
  for (; Id < 64 + 1000; ++Id)
    (void)Control.offer(
        {.m_Id = Id, .m_Customer = static_cast<std::uint32_t>(Id) % Customers},
        Now);
  AllocationCount Count(State);
  for (auto _ : State) {
    Now += absl::Microseconds(10);
    benchmark::DoNotOptimize(Control.offer(
        {.m_Id = Id, .m_Customer = static_cast<std::uint32_t>(Id) % Customers},
        Now));
    ++Id;
    Control.finish(Running, RunOutcome::Success, Latency, Now);
    Run.clear();
    Refused.clear();
    Control.poll(Now, Run, Refused);
    if (!Run.empty())
      Running = Run.back();
  }
}
BENCHMARK(BM_Admission_Queued)->Arg(8)->Arg(64)->Arg(512);

void BM_TargetChooser_Choose(benchmark::State &State) {
  absl::Time Now = absl::UnixEpoch();
  TargetChooser Chooser({.m_Region = "r", .m_DataCenter = "a"});
  std::vector<TargetInfo> Targets;
  for (model::Incarnation Target = 1; Target <= 60; ++Target)
    Targets.push_back({Target, std::to_string(Target), "r",
                       Target % 3 == 0 ? "a" : "b", false});
  Chooser.setTargets(Targets, Now);
  std::mt19937_64 Random(1);
  AllocationCount Count(State);
  for (auto _ : State) {
    Now += absl::Microseconds(10);
    auto Target = Chooser.choose({}, Random, Now);
    Chooser.onSent(*Target, Now);
    Chooser.onAnswer(*Target, {.m_Limit = 100, .m_InFlight = 50}, true, Latency,
                     Now);
  }
}
BENCHMARK(BM_TargetChooser_Choose);

void BM_EarlyRefusal(benchmark::State &State) {
  absl::Time Now = absl::UnixEpoch();
  EarlyRefusal Refusal({});
  std::mt19937_64 Random(1);
  Refusal.observe(1.5F, Now, 7);
  AllocationCount Count(State);
  for (auto _ : State) {
    Now += absl::Microseconds(10);
    benchmark::DoNotOptimize(
        Refusal.refuse(model::Priority::Normal, Now, Random, 7));
    Refusal.observe(1.5F, Now, 7);
  }
}
BENCHMARK(BM_EarlyRefusal);

void BM_RetryPolicy_Decide(benchmark::State &State) {
  absl::Time Now = absl::UnixEpoch();
  RetryPolicy Edge({});
  std::mt19937_64 Random(1);
  RetryContext Failure{.m_Reason = model::RefusalReason::Overloaded,
                       .m_Ran = model::Ran::No,
                       .m_AttemptsLeft = 2};
  AllocationCount Count(State);
  for (auto _ : State) {
    Edge.onFirstAttempt(false);
    benchmark::DoNotOptimize(Edge.decide(Failure, Random, Now));
  }
}
BENCHMARK(BM_RetryPolicy_Decide);

} // namespace
} // namespace knapweedloft::policy
