#include "Trial.h"

#include "Hop.h"

#include "absl/random/distributions.h"
#include "fmt/format.h"
#include "policy/AttemptBudget.h"

#include <algorithm>

namespace knapweedloft::faults {
namespace {

constexpr double SlowFactor = 10;
constexpr double SurgeWhileSlow = 1.5;
constexpr double GreedFactor = 5;
constexpr std::uint32_t GreedyCustomer = 1;
constexpr double StormLoad = 1.5 / BaseUtilization;
constexpr double LoadAfterStorm = 0.8 / BaseUtilization;
constexpr absl::Duration AttemptTimeout = absl::Seconds(2);
constexpr absl::Duration Patience = absl::Seconds(4);
constexpr absl::Duration LeastResend = absl::Milliseconds(50);
constexpr absl::Duration MostResend = absl::Milliseconds(150);
/// Refusals are not counted so soon after they could not be avoided.
constexpr absl::Duration Grace = absl::Seconds(2);
/// The ideal counts as enough from this share of the demand.
constexpr double Enough = 0.999;

absl::Duration lengthOf(FaultCase Case) {
  return WarmUp + roundsOf(Case) * (FaultLength + Pause);
}

/// \returns the load at which the customers send their rates: the largest of
/// the case.
double plannedLoadOf(FaultCase Case) {
  if (includes(Case, FaultCase::RetryStorm))
    return StormLoad;
  return Case == FaultCase::SlowDeepService ? SurgeWhileSlow : 1;
}

} // namespace

Trial::Trial(const Deployment &Spec, FaultCase Case, const Mechanisms &InUse,
             std::uint64_t Seed)
    : m_Case(Case), m_Site(Spec, InUse, Seed),
      m_Rates(m_Site.m_Spec, plannedLoadOf(Case), m_Site.m_Events.now()),
      m_Length(lengthOf(Case)),
      m_Meter(Spec.m_Routes.size(), Spec.m_Customers.size(), m_Length),
      m_FeasibleSince(Spec.m_Routes.size(), absl::InfinitePast()) {}

double Trial::demandOf(std::size_t Route, std::uint32_t Customer) const {
  double Rate = m_Site.m_Spec.m_Routes[Route].m_Rate *
                m_Site.m_Spec.m_Customers[Customer] * m_Load;
  return Customer == GreedyCustomer ? Rate * m_Greed : Rate;
}

void Trial::scheduleFaults(absl::Time Start) {
  for (int Round = 0; Round < roundsOf(m_Case); ++Round) {
    absl::Time Begin = Start + WarmUp + Round * (FaultLength + Pause);
    m_Site.m_Events.at(Begin, [this] { beginFault(); });
    m_Site.m_Events.at(Begin + FaultLength, [this] { endFault(); });
  }
}

void Trial::beginFault() {
  if (includes(m_Case, FaultCase::SlowDeepService)) {
    m_Slowdown = SlowFactor;
    m_Load = SurgeWhileSlow;
    for (auto &One : m_Site.m_Hops)
      if (One->service() == m_Site.m_Spec.m_DeepService)
        One->target().setSlowdown(SlowFactor);
  }
  if (includes(m_Case, FaultCase::RetryStorm))
    m_Load = StormLoad;
  if (includes(m_Case, FaultCase::GreedyCustomer))
    m_Greed = GreedFactor;
  m_IsLying = includes(m_Case, FaultCase::LyingHealth);
  // Data center 0 fails, data center 1 starts cold.
  for (auto &One : m_Site.m_Hops) {
    if (m_IsLying && One->dataCenter() == 0)
      One->target().setFailing(true);
    if (includes(m_Case, FaultCase::ColdStart) && One->dataCenter() == 1)
      One->target().restart();
  }
}

void Trial::endFault() {
  m_Slowdown = 1;
  m_Greed = 1;
  m_Load = includes(m_Case, FaultCase::RetryStorm) ? LoadAfterStorm : 1;
  m_IsLying = false;
  for (auto &One : m_Site.m_Hops) {
    One->target().setSlowdown(1);
    One->target().setFailing(false);
  }
}

void Trial::arrive(std::size_t Route, std::uint32_t Customer) {
  double Rate = demandOf(Route, Customer);
  m_Site.m_Events.after(absl::Seconds(absl::Exponential(m_Site.m_Random, Rate)),
                        [this, Route, Customer] { arrive(Route, Customer); });
  absl::Time Now = m_Site.m_Events.now();
  m_Meter.onOffered(Route, Customer, Now);
  ++m_Offered;
  auto Own = std::make_shared<Logical>();
  Own->m_Route = Route;
  Own->m_Customer = Customer;
  Own->m_GiveUp = Now + Patience;
  bool IsInRate = Customer != GreedyCustomer || m_Greed <= 1;
  Own->m_IsEntitled = IsInRate && Now >= absl::UnixEpoch() + WarmUp &&
                      Now - m_FeasibleSince[Route] >= Grace;
  bool IsFirstInRate = m_Rates.isFirstInRate(Customer, Now);
  Own->m_IsEntitled = Own->m_IsEntitled && IsFirstInRate;
  if (Own->m_IsEntitled)
    m_Meter.onEntitledRequest();
  send(Own);
}

void Trial::send(const std::shared_ptr<Logical> &Own) {
  if (refuseOverRate(Own))
    return;
  absl::Time Now = m_Site.m_Events.now();
  Work Request;
  Request.m_Route = Own->m_Route;
  Request.m_Customer = Own->m_Customer;
  Request.m_Deadline = std::min(Now + AttemptTimeout, Own->m_GiveUp);
  Request.m_Retries = policy::AttemptBudget::PerRequest;
  std::size_t Entry =
      absl::Uniform<std::size_t>(m_Site.m_Random, 0, m_Site.m_Hops.size());
  (void)m_Site.m_Hops[Entry]->submit(
      Request, [this, Own](const Ending &End) { onEnd(Own, End); });
}

bool Trial::refuseOverRate(const std::shared_ptr<Logical> &Own) {
  if (!m_Site.m_InUse.has(Mechanism::Rates) ||
      m_Rates.admit(Own->m_Customer, m_Site.m_Events.now()))
    return false;
  Ending End{.m_Reason = model::RefusalReason::OverRate,
             .m_Ran = model::Ran::No};
  m_Site.m_Events.after(absl::ZeroDuration(),
                        [this, Own, End] { onEnd(Own, End); });
  return true;
}

void Trial::onEnd(const std::shared_ptr<Logical> &Own, const Ending &End) {
  absl::Time Now = m_Site.m_Events.now();
  if (End.m_IsSuccess) {
    m_Meter.onServed(Own->m_Route, Own->m_Customer, Now);
    return;
  }
  if (Own->m_IsFirst && Own->m_IsEntitled &&
      (End.isRefusal() || End.m_IsDownstreamFailure)) {
    m_Meter.onWronglyRefused();
    if (End.m_Reason == model::RefusalReason::OverRate)
      m_Meter.onRefusedOverRate();
  }
  Own->m_IsFirst = false;
  absl::Duration Wait =
      LeastResend +
      (MostResend - LeastResend) * absl::Uniform(m_Site.m_Random, 0., 1.);
  if (Now + Wait >= Own->m_GiveUp)
    return;
  m_Site.m_Events.after(Wait, [this, Own] { send(Own); });
}

void Trial::measureIdeal() {
  const Deployment &Spec = m_Site.m_Spec;
  std::vector<ServiceState> Services(Spec.m_Services.size());
  for (auto &One : m_Site.m_Hops) {
    bool IsDown = m_IsLying && One->dataCenter() == 0;
    Services[One->service()].m_Slots += IsDown ? 0 : One->target().slots();
  }
  Services[Spec.m_DeepService].m_Slowdown = m_Slowdown;
  // What a customer sends beyond its rate is no part of the ideal.
  std::vector<double> InRate;
  InRate.reserve(Spec.m_Routes.size());
  for (const RouteSpec &Route : Spec.m_Routes)
    InRate.push_back(Route.m_Rate * m_Load);
  std::vector<double> Ideal = idealRates(Spec, Services, InRate);
  absl::Time Now = m_Site.m_Events.now();
  m_Meter.setIdeal(Ideal, Now);
  for (std::size_t Route = 0; Route < Ideal.size(); ++Route)
    if (Ideal[Route] < Enough * InRate[Route])
      m_FeasibleSince[Route] = Now;
  m_Site.m_Events.after(Meter::Bucket, [this] { measureIdeal(); });
}

void Trial::trace() {
  absl::Time Now = m_Site.m_Events.now();
  absl::Time From = Now - absl::Seconds(1);
  fmt::print("{:>4.0f}s goodput={:.3f}",
             absl::ToDoubleSeconds(Now - absl::UnixEpoch()),
             m_Meter.goodput(From, Now));
  for (auto &One : m_Site.m_Hops) {
    policy::AdmissionLoad Load = One->admission().load(Now);
    fmt::print(" {}:{:.0f}/{}+{}@{:.1f}", One->service(), Load.m_Limit,
               Load.m_InFlight, Load.m_Queued, Load.m_ShedLevel);
  }
  for (auto &Ends : m_Site.m_Ends) {
    fmt::print(" | {}", fmt::join(Ends, " "));
    Ends.fill(0);
  }
  fmt::print(" | {}\n", m_Meter.byRoute(From, Now));
  m_Site.m_Events.after(absl::Seconds(1), [this] { trace(); });
}

TrialResult Trial::run() {
  absl::Time Start = m_Site.m_Events.now();
  if (m_IsTraced)
    m_Site.m_Events.after(absl::Seconds(1), [this] { trace(); });
  scheduleFaults(Start);
  measureIdeal();
  const Deployment &Spec = m_Site.m_Spec;
  for (std::size_t Route = 0; Route < Spec.m_Routes.size(); ++Route)
    for (std::uint32_t Own = 0; Own < Spec.m_Customers.size(); ++Own)
      arrive(Route, Own);
  m_Site.m_Events.runUntil(Start + m_Length);

  TrialResult Result;
  absl::Time Begin = Start + WarmUp;
  Result.m_Goodput = m_Meter.goodput(Begin, Start + m_Length);
  Result.m_WorstServed = m_Meter.worstServed(Spec, Begin, Start + m_Length);
  for (int Round = 0; Round < roundsOf(m_Case); ++Round) {
    absl::Time End = Begin + Round * (FaultLength + Pause) + FaultLength;
    double Seconds = absl::ToDoubleSeconds(m_Meter.recovery(End, End + Pause));
    Result.m_Recovery = std::max(Result.m_Recovery, Seconds);
  }
  Result.m_WronglyRefused = m_Meter.wronglyRefused();
  Result.m_RefusedOverRate = m_Meter.refusedOverRate();
  for (auto &One : m_Site.m_Hops)
    Result.m_Falls += One->target().falls();
  Result.m_Forwards =
      static_cast<double>(m_Site.m_Forwards) / static_cast<double>(m_Offered);
  return Result;
}

} // namespace knapweedloft::faults
