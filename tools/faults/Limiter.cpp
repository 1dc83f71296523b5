#include "Limiter.h"

#include "policy/ConcurrencyLimit.h"

#include <algorithm>
#include <cmath>
#include <memory>

namespace knapweedloft::faults {
namespace {

constexpr double MaxLimit = 4096;

struct AimdState {
  double m_Limit = 2;
  double m_Least = 0; ///< Least mean latency of a round trip, in seconds.
  double m_Sum = 0;
  double m_Count = 0;
  bool m_IsUsed = false;
};

void aimdFinish(AimdState &State, std::uint32_t Running, double Seconds) {
  constexpr double LatencyRatio = 2;
  constexpr double Decrease = 0.9;
  constexpr double LeastCount = 10;
  State.m_Sum += Seconds;
  State.m_Count += 1;
  State.m_IsUsed = State.m_IsUsed || Running + 1 >= State.m_Limit / 2;
  if (State.m_Count < std::max(LeastCount, State.m_Limit))
    return;
  double Mean = State.m_Sum / State.m_Count;
  if (State.m_Least == 0 || Mean < State.m_Least)
    State.m_Least = Mean;
  if (Mean > LatencyRatio * State.m_Least)
    State.m_Limit = std::max(1.0, State.m_Limit * Decrease);
  else if (State.m_IsUsed)
    State.m_Limit = std::min(MaxLimit, State.m_Limit + 1);
  State.m_Sum = State.m_Count = 0;
  State.m_IsUsed = false;
}

struct GradientState {
  double m_Limit = 20;
  double m_Long = 0;
  double m_Short = 0;
};

void gradientFinish(GradientState &State, std::uint32_t Running,
                    double Seconds) {
  constexpr double LongWindow = 600;
  constexpr double ShortWindow = 10;
  constexpr double Tolerance = 1.5;
  constexpr double Smoothing = 0.2;
  if (State.m_Long == 0)
    State.m_Long = State.m_Short = Seconds;
  State.m_Long += (Seconds - State.m_Long) / LongWindow;
  State.m_Short += (Seconds - State.m_Short) / ShortWindow;
  if (State.m_Long > 2 * State.m_Short)
    State.m_Long *= 0.95;
  if (Running + 1 < State.m_Limit / 2)
    return;
  double Gradient =
      std::clamp(Tolerance * State.m_Long / State.m_Short, 0.5, 1.0);
  double Next = State.m_Limit * Gradient + std::sqrt(State.m_Limit);
  // One update in each round trip: a share of it for each run.
  double Share = Smoothing / State.m_Limit;
  State.m_Limit += Share * (Next - State.m_Limit);
  State.m_Limit = std::clamp(State.m_Limit, 1.0, MaxLimit);
}

} // namespace

Limiter throughputLimiter(absl::Time Now) {
  auto State = std::make_shared<policy::ConcurrencyLimit>(
      policy::ConcurrencyLimit::Options{}, Now);
  return {"throughput", [State] { return State->current(); },
          [State](std::uint32_t Running, absl::Time At) {
            State->onStart(Running, At);
          },
          [State](std::uint32_t Running, policy::RunOutcome Outcome,
                  absl::Duration Latency, absl::Time At) {
            State->onFinish(Running, Outcome, Latency, At);
          }};
}

Limiter fixedLimiter(std::string Name, double Limit) {
  return {std::move(Name), [Limit] { return Limit; },
          [](std::uint32_t, absl::Time) {},
          [](std::uint32_t, policy::RunOutcome, absl::Duration, absl::Time) {}};
}

Limiter aimdLimiter() {
  auto State = std::make_shared<AimdState>();
  return {"aimd", [State] { return std::floor(State->m_Limit); },
          [](std::uint32_t, absl::Time) {},
          [State](std::uint32_t Running, policy::RunOutcome Outcome,
                  absl::Duration Latency, absl::Time) {
            if (Outcome == policy::RunOutcome::Success)
              aimdFinish(*State, Running, absl::ToDoubleSeconds(Latency));
          }};
}

Limiter gradientLimiter() {
  auto State = std::make_shared<GradientState>();
  return {"gradient", [State] { return std::floor(State->m_Limit); },
          [](std::uint32_t, absl::Time) {},
          [State](std::uint32_t Running, policy::RunOutcome Outcome,
                  absl::Duration Latency, absl::Time) {
            if (Outcome == policy::RunOutcome::Success)
              gradientFinish(*State, Running, absl::ToDoubleSeconds(Latency));
          }};
}

} // namespace knapweedloft::faults
