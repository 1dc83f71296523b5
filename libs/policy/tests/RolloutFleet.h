#ifndef KNAPWEEDLOFT_POLICY_TESTS_ROLLOUTFLEET_H
#define KNAPWEEDLOFT_POLICY_TESTS_ROLLOUTFLEET_H

#include "policy/RolloutGate.h"
#include "policy/RolloutPlan.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace knapweedloft::policy::testing {

/// What is wrong with a version, and what a fault does to a target.
struct Fault {
  double m_From = 0; ///< Seconds since the order.
  double m_To = 1e9;
  double m_FailedShare = 0;
  double m_SlowShare = 0;
  double m_SlowFactor = 8;
  std::string m_OnlyRoute;
  /// Part of the slots of all targets of the version that have to be in use.
  double m_FromLoad = 0;

  [[nodiscard]] bool isNone() const {
    return m_FailedShare == 0 && m_SlowShare == 0;
  }
  [[nodiscard]] bool meets(double Second, const std::string &Route,
                           double Load) const {
    return Second >= m_From && Second < m_To && Load >= m_FromLoad &&
           (m_OnlyRoute.empty() || m_OnlyRoute == Route);
  }
};

struct TargetFault {
  std::vector<std::size_t> m_Targets;
  Fault m_Fault;
};

struct Decider {
  double m_From = 0;
  double m_To = 1e9;
  double m_PauseFrom = 1e9;
  double m_PauseTo = 1e9;
  /// Every m_DeafTo-th daemon is not heard; 0: all are.
  std::size_t m_DeafTo = 0;
};

struct FleetOptions {
  std::size_t m_Former = 9;
  std::size_t m_New = 4;
  double m_Rate = 500; ///< Requests a second.
  double m_Work = 0.1; ///< Seconds.
  /// Whether the work varies exponentially, or else by a third.
  bool m_IsWorkVaried = false;
  double m_Duration = 14;
  double m_ColdUntil = 0; ///< Of the new targets.
  Fault m_Version;
  std::vector<TargetFault> m_Faults; ///< By index, former targets first.
  std::optional<Fault> m_Below;      ///< Of the service that is called.
  std::vector<Decider> m_Deciders = {Decider()};
  std::vector<std::pair<double, std::size_t>> m_Restarts; ///< When and which.
  std::size_t m_Seed = 1;
};

/// A service with targets of two versions, each beside a daemon, and daemons
/// that decide about the roll-out, in virtual time.
class RolloutFleet {
public:
  struct Result {
    RolloutPhase m_Outcome = RolloutPhase::None;
    double m_OutcomeAt = 1e9;
    std::string m_Reason;
    double m_Requests = 0;    ///< Between order and deadline.
    double m_NewRequests = 0; ///< Likewise, to the new version.
    double m_Unserved = 0;
    double m_BadAnswers = 0;      ///< Of the version itself.
    double m_BadUntilOutcome = 0; ///< Likewise.
    double m_FiftiethBadAt = 1e9; ///< When the 50th of them ended.
    double m_LastNewRequestAt = -1;
  };

  explicit RolloutFleet(const FleetOptions &Settings)
      : m_Settings(Settings), m_Random(Settings.m_Seed) {
    std::size_t Count = Settings.m_Former + Settings.m_New;
    double Slots = std::ceil(2.5 * Settings.m_Rate * Settings.m_Work /
                             static_cast<double>(Settings.m_New)) +
                   4;
    for (std::size_t Index = 0; Index < Count; ++Index) {
      Target Next;
      Next.m_Name = "d-" + std::to_string(Index);
      Next.m_IsNew = Index >= Settings.m_Former;
      Next.m_Slots = Slots;
      Next.m_Speed = std::uniform_real_distribution<>(0.5, 1.7)(m_Random);
      Next.m_Gate.setOrder(Next.m_IsNew);
      m_Targets.push_back(std::move(Next));
    }
  }

  Result run() {
    double End = m_Settings.m_Duration + 8;
    for (m_Tick = 0; second() < End; ++m_Tick) {
      restart();
      complete();
      arrive();
      for (std::size_t Index = 0; Index < m_Targets.size(); ++Index) {
        if ((static_cast<std::size_t>(m_Tick) + Index) % TicksPerSample == 0)
          tell(Index);
      }
      if (m_Tick % TicksPerSample == 0)
        decide();
      deliver();
    }
    return m_Result;
  }

private:
  static constexpr int TicksPerSecond = 20;
  static constexpr int TicksPerSample = 5;
  static constexpr double ColdPerSecond = 19;

  struct Running {
    double m_Start = 0;
    double m_End = 0;
    std::size_t m_Route = 0;
    bool m_IsFailed = false;
    bool m_IsBad = false; ///< By the version.
  };

  struct Target {
    std::string m_Name;
    bool m_IsNew = false;
    double m_Slots = 1;
    double m_Speed = 1;
    double m_ColdTokens = 0;
    model::Incarnation m_Incarnation = 1;
    std::vector<Running> m_Running;
    std::vector<RouteCounts> m_Routes{3};
    RolloutGate m_Gate{RolloutGate::Options()};
  };

  struct Acting {
    Decider m_Settings;
    std::unique_ptr<RolloutPlan> m_Plan;
    std::uint64_t m_Epoch = 0;
    std::uint64_t m_Sequence = 0;
  };

  struct News {
    int m_Tick = 0;
    std::uint64_t m_Epoch = 0;
    std::uint64_t m_Sequence = 0;
    RolloutPlan::Command m_Command;
  };

  [[nodiscard]] double second() const {
    return static_cast<double>(m_Tick) / TicksPerSecond;
  }
  [[nodiscard]] absl::Time now() const {
    return m_Start + absl::Seconds(second());
  }
  double uniform() { return std::uniform_real_distribution<>()(m_Random); }

  [[nodiscard]] bool isCold(const Target &Of) const {
    return Of.m_IsNew && second() < m_Settings.m_ColdUntil;
  }

  [[nodiscard]] double loadOf(bool IsNew) const {
    double Slots = 0;
    double Used = 0;
    for (const Target &Of : m_Targets) {
      Slots += Of.m_IsNew == IsNew ? Of.m_Slots : 0;
      Used +=
          Of.m_IsNew == IsNew ? static_cast<double>(Of.m_Running.size()) : 0;
    }
    return Used / Slots;
  }

  void apply(const Fault &Of, Running &Request, const Target &At,
             bool IsVersion) {
    if (!Of.meets(second(), routeName(Request.m_Route), loadOf(At.m_IsNew)))
      return;
    bool Fails = uniform() < Of.m_FailedShare;
    bool IsSlow = uniform() < Of.m_SlowShare;
    Request.m_IsFailed = Request.m_IsFailed || Fails;
    if (IsSlow)
      Request.m_End +=
          (Request.m_End - Request.m_Start) * (Of.m_SlowFactor - 1);
    if (IsVersion && (Fails || IsSlow))
      Request.m_IsBad = true;
  }

  static std::string routeName(std::size_t Route) {
    return "r-" + std::to_string(Route);
  }

  std::size_t drawRoute() {
    double Drawn = uniform();
    return Drawn < 0.6 ? 0 : (Drawn < 0.85 ? 1 : 2);
  }

  bool tryTarget(std::size_t Index, double At, std::size_t Route) {
    Target &To = m_Targets[Index];
    if (static_cast<double>(To.m_Running.size()) >= To.m_Slots)
      return false;
    if (isCold(To) && To.m_ColdTokens < 1)
      return false;
    if (!To.m_Gate.tryAccept(now()))
      return false;
    To.m_ColdTokens -= 1;
    double Varied = m_Settings.m_IsWorkVaried ? -std::log(1 - uniform())
                                              : 0.67 + 0.66 * uniform();
    double Work = m_Settings.m_Work * Varied / To.m_Speed;
    Running Request{.m_Start = At,
                    .m_End = At + Work * (isCold(To) ? 2 : 1),
                    .m_Route = Route};
    if (To.m_IsNew)
      apply(m_Settings.m_Version, Request, To, true);
    for (const TargetFault &Of : m_Settings.m_Faults) {
      if (std::count(Of.m_Targets.begin(), Of.m_Targets.end(), Index) > 0)
        apply(Of.m_Fault, Request, To, false);
    }
    if (m_Settings.m_Below)
      apply(*m_Settings.m_Below, Request, To, false);
    To.m_Running.push_back(Request);
    if (To.m_IsNew) {
      m_Result.m_NewRequests += At <= m_Settings.m_Duration ? 1 : 0;
      m_Result.m_LastNewRequestAt = At;
    }
    return true;
  }

  bool tryVersion(bool IsNew, double At, std::size_t Route) {
    std::vector<std::size_t> Open;
    double Weights = 0;
    for (std::size_t Index = 0; Index < m_Targets.size(); ++Index) {
      const Target &Of = m_Targets[Index];
      if (Of.m_IsNew != IsNew || !Of.m_Gate.isOpen(now()))
        continue;
      Open.push_back(Index);
      Weights += Of.m_Speed;
    }
    for (int Try = 0; Try < 6 && !Open.empty(); ++Try) {
      double Drawn = uniform() * Weights;
      std::size_t Chosen = 0;
      while (Chosen + 1 < Open.size() &&
             Drawn > m_Targets[Open[Chosen]].m_Speed)
        Drawn -= m_Targets[Open[Chosen++]].m_Speed;
      if (tryTarget(Open[Chosen], At, Route))
        return true;
      Weights -= m_Targets[Open[Chosen]].m_Speed;
      Open.erase(Open.begin() + static_cast<std::ptrdiff_t>(Chosen));
    }
    return false;
  }

  void arrive() {
    double Exposure = 0;
    for (Target &Of : m_Targets) {
      if (Of.m_IsNew)
        Exposure = std::max(Exposure, Of.m_Gate.exposure(now()));
      Of.m_ColdTokens =
          std::min(4.0, Of.m_ColdTokens + ColdPerSecond / TicksPerSecond);
    }
    std::poisson_distribution<int> Arrivals(m_Settings.m_Rate / TicksPerSecond);
    for (int Left = Arrivals(m_Random); Left > 0; --Left) {
      double At = second() + uniform() / TicksPerSecond;
      std::size_t Route = drawRoute();
      bool IsNew = uniform() < Exposure;
      m_Result.m_Requests += At <= m_Settings.m_Duration ? 1 : 0;
      if (!tryVersion(IsNew, At, Route) && !tryVersion(!IsNew, At, Route))
        ++m_Result.m_Unserved;
    }
  }

  void complete() {
    for (Target &Of : m_Targets) {
      auto HasEnded = [&](const Running &Request) {
        if (Request.m_End > second())
          return false;
        count(Of, Request);
        return true;
      };
      std::erase_if(Of.m_Running, HasEnded);
    }
  }

  void count(Target &Of, const Running &Request) {
    RouteCounts &Counts = Of.m_Routes[Request.m_Route];
    ++Counts.m_Answers;
    if (Request.m_IsFailed)
      ++Counts.m_Failures;
    else
      ++Counts.m_Latencies[RouteCounts::bucketOf(
          absl::Seconds(Request.m_End - Request.m_Start))];
    if (!Request.m_IsBad)
      return;
    ++m_Result.m_BadAnswers;
    if (m_Result.m_BadAnswers == 50)
      m_Result.m_FiftiethBadAt = Request.m_End;
  }

  void restart() {
    for (const auto &[At, Index] : m_Settings.m_Restarts) {
      if (std::llround(At * TicksPerSecond) != m_Tick)
        continue;
      Target &Of = m_Targets[Index % m_Targets.size()];
      ++Of.m_Incarnation;
      Of.m_Running.clear();
      Of.m_Routes.assign(3, RouteCounts());
      Of.m_Gate.setOrder(Of.m_IsNew);
      for (Acting &By : m_Acting)
        By.m_Plan->onDaemonLost(Of.m_Name, now());
    }
  }

  void tell(std::size_t Index) {
    const Target &Of = m_Targets[Index];
    RolloutSample Sample{.m_Daemon = Of.m_Name,
                         .m_Incarnation = Of.m_Incarnation,
                         .m_Instance = "i-" + Of.m_Name,
                         .m_Version = Of.m_IsNew ? "v2" : "v1",
                         .m_IsOpen = true,
                         .m_IsCold = isCold(Of),
                         .m_Slots = Of.m_Slots,
                         .m_Running =
                             static_cast<std::uint32_t>(Of.m_Running.size()),
                         .m_Arrivals = Of.m_Gate.accepted(),
                         .m_Routes = Of.m_Routes};
    for (std::size_t Route = 0; Route < Sample.m_Routes.size(); ++Route)
      Sample.m_Routes[Route].m_Route = routeName(Route);
    for (const Running &Request : Of.m_Running)
      Sample.m_Overdue +=
          second() - Request.m_Start > 4 * m_Settings.m_Work ? 1 : 0;
    for (Acting &By : m_Acting) {
      std::size_t DeafTo = By.m_Settings.m_DeafTo;
      if (isActing(By) && (DeafTo == 0 || Index % DeafTo != 0))
        By.m_Plan->onSample(Sample, now());
    }
  }

  [[nodiscard]] bool isActing(const Acting &By) const {
    const Decider &Of = By.m_Settings;
    bool IsPaused = second() >= Of.m_PauseFrom && second() < Of.m_PauseTo;
    return second() < Of.m_To && !IsPaused;
  }

  void claim() {
    while (m_Acting.size() < m_Settings.m_Deciders.size()) {
      const Decider &Next = m_Settings.m_Deciders[m_Acting.size()];
      if (Next.m_From > second())
        return;
      RolloutPlan::Order Ordered{.m_Service = "s",
                                 .m_TargetVersion = "v2",
                                 .m_Received = m_Start,
                                 .m_Duration =
                                     absl::Seconds(m_Settings.m_Duration)};
      m_Acting.push_back({.m_Settings = Next,
                          .m_Plan = std::make_unique<RolloutPlan>(
                              RolloutPlan::Options(), Ordered, m_Heard, now()),
                          .m_Epoch = m_Acting.size() + 1});
    }
  }

  void decide() {
    claim();
    for (Acting &By : m_Acting) {
      if (!isActing(By))
        continue;
      RolloutPlan::Command Next = By.m_Plan->update(now());
      bool IsNewest = By.m_Epoch == m_Acting.size();
      if (isFinal(Next.m_Phase) && !IsNewest)
        continue;
      m_News.push_back({.m_Tick = m_Tick,
                        .m_Epoch = By.m_Epoch,
                        .m_Sequence = ++By.m_Sequence,
                        .m_Command = Next});
      if (isFinal(Next.m_Phase) && !isFinal(m_Result.m_Outcome)) {
        m_Result.m_Outcome = Next.m_Phase;
        m_Result.m_OutcomeAt = second();
        m_Result.m_Reason = Next.m_Reason;
        m_Result.m_BadUntilOutcome = m_Result.m_BadAnswers;
      }
    }
  }

  void deliver() {
    while (!m_News.empty() && m_News.front().m_Tick < m_Tick) {
      const News &Next = m_News.front();
      m_Heard = Next.m_Command.m_Phase;
      for (Target &Of : m_Targets) {
        auto Allowed = Next.m_Command.m_Allowances.find(Of.m_Name);
        bool IsAllowed = Allowed != Next.m_Command.m_Allowances.end();
        RolloutGate::Command Told{
            .m_Epoch = Next.m_Epoch,
            .m_Sequence = Next.m_Sequence,
            .m_Phase = Next.m_Command.m_Phase,
            .m_Share = Next.m_Command.m_Share,
            .m_Allowance = IsAllowed ? Allowed->second : 0,
            .m_Age = absl::Seconds(second()) -
                     absl::Seconds(static_cast<double>(Next.m_Tick) /
                                   TicksPerSecond)};
        Of.m_Gate.onCommand(Told, now());
      }
      m_News.pop_front();
    }
  }

  FleetOptions m_Settings;
  std::mt19937_64 m_Random;
  absl::Time m_Start = absl::FromUnixSeconds(1'000'000);
  int m_Tick = 0;
  std::vector<Target> m_Targets;
  std::vector<Acting> m_Acting;
  std::deque<News> m_News;
  RolloutPhase m_Heard = RolloutPhase::None;
  Result m_Result;
};

} // namespace knapweedloft::policy::testing

#endif // KNAPWEEDLOFT_POLICY_TESTS_ROLLOUTFLEET_H
