#include "ServiceFigures.h"

#include "caller/LoadPlan.h"
#include "caller/LoadRun.h"

#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"

#include <algorithm>
#include <atomic>
#include <thread>
#include <vector>

namespace knapweedloft::fleet {
namespace {

using caller::CustomerReport;
using caller::LoadPlan;
using caller::LoadReport;

/// "Within seconds", as the users have it.
constexpr double WithinSeconds = 5;

/// Calls every node in turn on open connections and notes when one succeeded
/// last.
class OpenCalls {
public:
  OpenCalls(FleetSite &Fleet, std::string Key)
      : m_Fleet(Fleet), m_Key(std::move(Key)), m_Thread([this] { run(); }) {}

  ~OpenCalls() {
    m_IsOver = true;
    m_Thread.join();
    // What is under way refers to this object.
    absl::MutexLock Lock(&m_Mutex);
    auto IsDone = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_Mutex) {
      return m_UnderWay == 0;
    };
    m_Mutex.Await(absl::Condition(&IsDone));
  }

  absl::Time lastSuccess() {
    absl::MutexLock Lock(&m_Mutex);
    return m_LastSuccess;
  }

private:
  void run() {
    for (std::size_t Turn = 0; !m_IsOver; ++Turn) {
      call(Turn % FleetSite::DaemonCount);
      absl::SleepFor(absl::Milliseconds(5));
    }
  }

  void call(std::size_t Index) {
    {
      absl::MutexLock Lock(&m_Mutex);
      ++m_UnderWay;
    }
    m_Fleet.client().send(m_Fleet.base(Index),
                          {.m_Method = "GET",
                           .m_Path = "/orders/1",
                           .m_Headers = {{"Authorization", "Bearer " + m_Key}}},
                          absl::Seconds(5),
                          [this](const http::HttpResult &Result) {
                            absl::MutexLock Lock(&m_Mutex);
                            --m_UnderWay;
                            if (Result.m_Failure == http::Failure::None &&
                                Result.m_Response.m_Status == 200)
                              m_LastSuccess = absl::Now();
                          });
  }

  FleetSite &m_Fleet;
  std::string m_Key;
  std::atomic<bool> m_IsOver{false};
  absl::Mutex m_Mutex;
  int m_UnderWay ABSL_GUARDED_BY(m_Mutex) = 0;
  absl::Time m_LastSuccess ABSL_GUARDED_BY(m_Mutex) = absl::InfinitePast();
  std::thread m_Thread;
};

LoadPlan planOf(FleetSite &Fleet, std::vector<caller::CallingCustomer> Who,
                absl::Duration Length, std::uint64_t Seed) {
  LoadPlan Plan;
  Plan.m_Bases = Fleet.allBases();
  Plan.m_Customers = std::move(Who);
  Plan.m_Method = "GET";
  Plan.m_Path = "/orders/1";
  Plan.m_Duration = Length;
  Plan.m_Seed = Seed;
  return Plan;
}

std::string statuses(const CustomerReport &Report) {
  std::string Text;
  for (const auto &[Status, Count] : Report.m_ByStatus)
    Text += fmt::format(" {}: {}", Status, Count);
  for (const auto &[Reason, Count] : Report.m_ByReason)
    Text += fmt::format(" {}: {}", Reason, Count);
  return Text;
}

void measureKey(FleetSite &Fleet, Figures &Out) {
  std::string Key = Fleet.addCustomer("withdrawn", 1000, 1000);
  (void)Fleet.secondsUntilAll("/v1/keys/withdrawn", 200);
  OpenCalls Calls(Fleet, Key);
  absl::SleepFor(absl::Seconds(4));
  if (absl::Now() - Calls.lastSuccess() > absl::Seconds(1)) {
    Out.note("  withdrawn key: no call succeeded before; not measured");
    Out.atMost("withdrawn key: s until its last success", 1e9, WithinSeconds);
    return;
  }
  Fleet.site().remove("keys/withdrawn");
  absl::Time Accepted = absl::Now();
  absl::SleepFor(absl::Seconds(6));
  absl::Duration Late =
      std::max(Calls.lastSuccess() - Accepted, absl::ZeroDuration());
  Out.atMost("withdrawn key: s until its last success",
             absl::ToDoubleSeconds(Late), WithinSeconds);
}

void measureOverRate(FleetSite &Fleet, std::uint64_t Seed, Figures &Out) {
  constexpr double PerSecond = 100;
  constexpr double Burst = 50;
  std::string Key = Fleet.addCustomer("greedy", PerSecond, Burst);
  (void)Fleet.secondsUntilAll("/v1/keys/greedy", 200);
  absl::SleepFor(absl::Seconds(3));
  LoadReport Report = caller::runLoad(
      planOf(Fleet, {{"greedy", Key, 5 * PerSecond}}, absl::Seconds(15), Seed));
  const CustomerReport &Greedy = Report.m_Customers["greedy"];
  double Seconds = absl::ToDoubleSeconds(Report.m_Duration);
  double Granted = static_cast<double>(Greedy.m_Succeeded);
  Out.note(fmt::format("  at 5x for {:.2f} s: {} calls,{}", Seconds,
                       Greedy.m_Calls, statuses(Greedy)));
  Out.atMost("at 5x: succeeded over rate * time + burst",
             Granted / (PerSecond * Seconds + Burst), 1);
  Out.atLeast("at 5x: succeeded over rate * time",
              Granted / (PerSecond * Seconds), 0.98);
}

void measureMoving(FleetSite &Fleet, std::uint64_t Seed, Figures &Out) {
  std::string Key = Fleet.addCustomer("moving", 100, 100);
  (void)Fleet.secondsUntilAll("/v1/keys/moving", 200);
  absl::SleepFor(absl::Seconds(4));
  std::uint64_t Calls = 0;
  std::uint64_t Refused = 0;
  std::string Last;
  for (std::size_t At = 0; At < 6; ++At) {
    LoadPlan Plan =
        planOf(Fleet, {{"moving", Key, 90}}, absl::Seconds(5), Seed + At);
    Plan.m_Bases = {Fleet.base(At * 5 + 1)};
    CustomerReport Report = caller::runLoad(Plan).m_Customers["moving"];
    Calls += Report.m_Calls;
    Refused += Report.m_Calls - Report.m_Succeeded;
    Last += statuses(Report) + ";";
  }
  Out.note(fmt::format("  at 90% on one daemon, moved 5 times: {} of {} calls "
                       "failed:{}",
                       Refused, Calls, Last));
  Out.atMost("at 90%, moving: failed in 10,000",
             1e4 * static_cast<double>(Refused) / static_cast<double>(Calls),
             5);
}

/// Withdraws the data center of node 0 and takes it back under load.
class DataCenterMove {
public:
  explicit DataCenterMove(FleetSite &Fleet)
      : m_Fleet(Fleet), m_Thread([this] { run(); }) {}
  void join() { m_Thread.join(); }

  double m_SecondsToLastRun = 0;
  std::size_t m_RunsBefore = 0; ///< In the 4 s before it is withdrawn.
  std::size_t m_RunsAfter = 0;  ///< In the 4 s after its return.

private:
  std::size_t runs() {
    std::size_t Sum = 0;
    for (std::size_t Index = 0; Index < FleetSite::TargetCount; Index += 3)
      Sum += m_Fleet.runsOf(Index);
    return Sum;
  }

  void run() {
    std::size_t First = runs();
    absl::SleepFor(absl::Seconds(4));
    m_RunsBefore = runs() - First;
    m_Fleet.site().put(
        "withdrawals/move",
        fmt::format(R"({{"scope":"data-center","subject":"{}"}})",
                    FleetSite::dataCenterOf(0)));
    absl::Time Accepted = absl::Now();
    std::size_t Before = runs();
    while (absl::Now() < Accepted + absl::Seconds(8)) {
      absl::SleepFor(absl::Milliseconds(100));
      std::size_t Now = runs();
      if (Now != Before)
        m_SecondsToLastRun = absl::ToDoubleSeconds(absl::Now() - Accepted);
      Before = Now;
    }
    m_Fleet.site().remove("withdrawals/move");
    absl::SleepFor(absl::Seconds(4));
    m_RunsAfter = runs() - Before;
  }

  FleetSite &m_Fleet;
  std::thread m_Thread;
};

void measureMove(FleetSite &Fleet, std::uint64_t Seed, Figures &Out) {
  std::vector<caller::CallingCustomer> Who;
  for (int Index = 0; Index < 8; ++Index) {
    std::string Name = fmt::format("member-{}", Index);
    double PerSecond = Index < 2 ? 60 : 20;
    Who.push_back({Name, Fleet.addCustomer(Name, 200, 400), PerSecond});
  }
  (void)Fleet.secondsUntilAll("/v1/keys/member-7", 200);
  absl::SleepFor(absl::Seconds(4));
  DataCenterMove Move(Fleet);
  LoadReport Report =
      caller::runLoad(planOf(Fleet, Who, absl::Seconds(18), Seed));
  Move.join();
  CustomerReport Total = Report.total();
  double Worst = 1;
  for (const auto &[Name, One] : Report.m_Customers)
    Worst = std::min(Worst, static_cast<double>(One.m_Succeeded) /
                                static_cast<double>(One.m_Calls));
  Out.note(fmt::format("  a data center leaves and returns: {} calls,{}",
                       Total.m_Calls, statuses(Total)));
  Out.atLeast("data center out: runs there in 4 s before",
              static_cast<double>(Move.m_RunsBefore), 1);
  Out.atLeast("data center out: runs there in 4 s after",
              static_cast<double>(Move.m_RunsAfter), 1);
  Out.atMost("data center out: s until its last new run",
             Move.m_SecondsToLastRun, WithinSeconds);
  Out.atLeast("data center out: share of whole requests",
              static_cast<double>(Total.m_Succeeded) /
                  static_cast<double>(Total.m_Calls),
              0.99);
  Out.atLeast("data center out: worst customer's share", Worst, 0.99);
  Out.atMost("wrong or cut answers", static_cast<double>(Report.m_WrongAnswers),
             0);
}

} // namespace

void measureService(FleetSite &Fleet, std::uint64_t Seed, Figures &Out) {
  Out.note("service on 30 daemons, 6 targets");
  measureKey(Fleet, Out);
  measureOverRate(Fleet, Seed, Out);
  measureMoving(Fleet, Seed, Out);
  measureMove(Fleet, Seed, Out);
}

} // namespace knapweedloft::fleet
