#include "LimitTrial.h"

#include "EventQueue.h"
#include "FakeTarget.h"

#include "absl/random/distributions.h"
#include "fmt/format.h"

#include <algorithm>
#include <array>
#include <deque>
#include <random>
#include <vector>

namespace knapweedloft::faults {
namespace {

constexpr absl::Duration Service = absl::Milliseconds(50);
constexpr absl::Duration MaxWait = absl::Milliseconds(200);
constexpr absl::Duration Patience = absl::Seconds(3);
constexpr absl::Duration Bucket = absl::Milliseconds(100);
constexpr double BaseLoad = 0.8;
constexpr double Surge = 3;
constexpr double Slowdown = 10;
constexpr int SlowFrom = 20;
constexpr int SlowUntil = 50;
constexpr int End = 70;
constexpr int Settle = 2;
constexpr double GoodputTarget = 0.95;
constexpr double StartTarget = 2;

class Trial {
public:
  Trial(const Limiter &Limit, double Slots, std::uint64_t Seed)
      : m_Limit(Limit), m_Slots(Slots), m_Random(Seed),
        m_Target(m_Events,
                 {.m_Slots = Slots,
                  .m_Connections = static_cast<std::size_t>(Slots * 6.5)}) {}

  LimitResult run();

private:
  struct Waiting {
    absl::Time m_Arrived;
  };

  [[nodiscard]] double capacity() const {
    return m_Slots / absl::ToDoubleSeconds(Service);
  }
  void arrive();
  void dispatch();
  void start(absl::Time Arrived);
  void sampleLimit();
  [[nodiscard]] double goodput(double From, double Until) const;

  const Limiter &m_Limit;
  double m_Slots;
  std::mt19937_64 m_Random;
  EventQueue m_Events;
  FakeTarget m_Target;
  std::deque<Waiting> m_Queue;
  std::uint32_t m_Running = 0;
  std::uint64_t m_NextId = 1;
  double m_Demand = BaseLoad;
  std::vector<double> m_Good =
      std::vector<double>(End * 10 + 1); ///< For each bucket.
  double m_InsideSeconds = 0;
  double m_InsideCount = 0;
  double m_LimitSum = 0;
  double m_LimitCount = 0;
};

void Trial::arrive() {
  double Rate = m_Demand * capacity();
  m_Events.after(absl::Seconds(absl::Exponential(m_Random, Rate)),
                 [this] { arrive(); });
  m_Queue.push_back({m_Events.now()});
  dispatch();
}

void Trial::dispatch() {
  while (!m_Queue.empty() &&
         m_Events.now() - m_Queue.front().m_Arrived > MaxWait)
    m_Queue.pop_front();
  while (!m_Queue.empty() && m_Running < m_Limit.m_Current()) {
    absl::Time Arrived = m_Queue.front().m_Arrived;
    m_Queue.pop_front();
    start(Arrived);
  }
}

void Trial::start(absl::Time Arrived) {
  absl::Time Began = m_Events.now();
  m_Limit.m_OnStart(++m_Running, Began);
  double Draw = absl::Uniform(m_Random, 0.5, 1.5);
  FakeTarget::Call Request;
  Request.m_Id = m_NextId++;
  Request.m_Work = Service * Draw;
  Request.m_Done = [this, Arrived, Began](policy::RunOutcome Outcome) {
    absl::Time Now = m_Events.now();
    --m_Running;
    m_Limit.m_OnFinish(m_Running, Outcome, Now - Began, Now);
    bool IsGood =
        Outcome == policy::RunOutcome::Success && Now - Arrived <= Patience;
    auto Index = static_cast<std::size_t>(
        absl::FDivDuration(Now - absl::UnixEpoch(), Bucket));
    if (IsGood && Index < m_Good.size())
      m_Good[Index] += 1;
    if (m_Demand > 1) {
      m_InsideSeconds += absl::ToDoubleSeconds(Now - Began);
      m_InsideCount += 1;
    }
    dispatch();
  };
  m_Target.call(std::move(Request));
}

void Trial::sampleLimit() {
  if (m_Demand > 1) {
    m_LimitSum += m_Limit.m_Current();
    m_LimitCount += 1;
  }
  m_Events.after(Bucket, [this] { sampleLimit(); });
}

double Trial::goodput(double From, double Until) const {
  double Sum = 0;
  for (auto Index = static_cast<std::size_t>(From * 10);
       Index < static_cast<std::size_t>(Until * 10); ++Index)
    Sum += m_Good[Index];
  return Sum / (Until - From);
}

LimitResult Trial::run() {
  auto AtSecond = [](int Second) {
    return absl::UnixEpoch() + absl::Seconds(Second);
  };
  m_Events.at(AtSecond(SlowFrom), [this] {
    m_Target.setSlowdown(Slowdown);
    m_Demand = BaseLoad * Surge;
  });
  m_Events.at(AtSecond(SlowUntil), [this] {
    m_Target.setSlowdown(1);
    m_Demand = BaseLoad;
  });
  arrive();
  sampleLimit();
  m_Events.runUntil(AtSecond(End));

  LimitResult Result;
  double Offered = BaseLoad * capacity();
  Result.m_StartSeconds = SlowFrom;
  for (double From = 0; From < SlowFrom - 1; From += 0.1)
    if (goodput(From, From + 1) >= GoodputTarget * Offered) {
      Result.m_StartSeconds = From;
      break;
    }
  Result.m_Before = goodput(SlowFrom / 2.0, SlowFrom) / Offered;
  Result.m_Slow =
      goodput(SlowFrom + Settle, SlowUntil) / (capacity() / Slowdown);
  Result.m_After = goodput(SlowUntil + Settle, End) / Offered;
  Result.m_Inside = m_InsideSeconds / std::max(1.0, m_InsideCount) /
                    (Slowdown * absl::ToDoubleSeconds(Service));
  Result.m_Limit = m_LimitSum / std::max(1.0, m_LimitCount);
  return Result;
}

constexpr std::array<double, 5> Sizes = {230, 300, 40, 35, 15};

void printRow(const Limiter &Limit, double Slots, const LimitResult &Result) {
  fmt::print("{:>5} {:<12} {:>7.1f} {:>8.3f} {:>8.3f} {:>8.3f} {:>8.2f} "
             "{:>8.0f}\n",
             Slots, Limit.m_Name, Result.m_StartSeconds, Result.m_Before,
             Result.m_Slow, Result.m_After, Result.m_Inside, Result.m_Limit);
}

} // namespace

LimitResult runLimitTrial(const Limiter &Limit, double Slots,
                          std::uint64_t Seed) {
  return Trial(Limit, Slots, Seed).run();
}

bool printLimitTable(std::uint64_t Seed) {
  fmt::print("{:>5} {:<12} {:>7} {:>8} {:>8} {:>8} {:>8} {:>8}\n", "slots",
             "limit", "start-s", "before", "slow", "after", "inside", "limit");
  bool IsMet = true;
  for (double Slots : Sizes) {
    std::vector<Limiter> Ways = {
        fixedLimiter("fixed-256", 256), fixedLimiter("fixed-slots", Slots),
        aimdLimiter(), gradientLimiter(), throughputLimiter(absl::UnixEpoch())};
    for (const Limiter &Way : Ways) {
      LimitResult Result = runLimitTrial(Way, Slots, Seed);
      printRow(Way, Slots, Result);
      if (Way.m_Name == "throughput")
        IsMet = IsMet && Result.m_Slow >= GoodputTarget &&
                Result.m_After >= GoodputTarget &&
                Result.m_StartSeconds <= StartTarget;
    }
  }
  return IsMet;
}

} // namespace knapweedloft::faults
