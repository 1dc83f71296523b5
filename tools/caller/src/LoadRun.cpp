#include "caller/LoadRun.h"

#include "CallTracker.h"

#include "absl/random/distributions.h"
#include "absl/time/clock.h"

#include <algorithm>
#include <random>
#include <thread>
#include <vector>

namespace knapweedloft::caller {
namespace {

/// Sleeps are late by about this much; the rest of a gap is spent looking at
/// the clock.
constexpr absl::Duration SleepSlack = absl::Microseconds(80);

void waitUntil(absl::Time When) {
  absl::Duration Left = When - absl::Now();
  if (Left > SleepSlack)
    absl::SleepFor(Left - SleepSlack);
  while (absl::Now() < When)
    std::this_thread::yield();
}

/// The next call of a customer.
struct Due {
  absl::Time m_At;
  const CallingCustomer *m_Customer;
  friend bool operator>(const Due &Left, const Due &Right) {
    return Left.m_At > Right.m_At;
  }
};

} // namespace

LoadReport runLoad(const LoadPlan &Plan) {
  CallTracker Tracker(Plan);
  std::mt19937_64 Random(Plan.m_Seed);
  auto Gap = [&](const CallingCustomer &Customer) {
    return absl::Seconds(
        absl::Exponential<double>(Random, Customer.m_PerSecond));
  };
  const absl::Time Start = absl::Now();
  std::vector<Due> Next;
  for (const CallingCustomer &Customer : Plan.m_Customers)
    if (Customer.m_PerSecond > 0)
      Next.push_back({Start + Gap(Customer), &Customer});
  std::make_heap(Next.begin(), Next.end(), std::greater<>());
  while (!Next.empty() && Next.front().m_At < Start + Plan.m_Duration) {
    std::pop_heap(Next.begin(), Next.end(), std::greater<>());
    Due &Now = Next.back();
    waitUntil(Now.m_At);
    Tracker.startCall(*Now.m_Customer);
    Now.m_At += Gap(*Now.m_Customer);
    std::push_heap(Next.begin(), Next.end(), std::greater<>());
  }
  waitUntil(Start + Plan.m_Duration);
  Tracker.awaitAll();
  LoadReport Report = Tracker.takeReport();
  Report.m_Duration = absl::Now() - Start;
  return Report;
}

} // namespace knapweedloft::caller
