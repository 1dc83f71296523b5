#include "RolloutAllowances.h"

#include <algorithm>
#include <cmath>

namespace knapweedloft::policy {

namespace {

constexpr absl::Duration RateWindow = absl::Seconds(1);
/// Part of the former value that remains of a target's recent arrivals.
constexpr double RecentKept = 0.7;
/// Part of what all targets may take that is split evenly among them.
constexpr double EvenPart = 0.3;
/// A target may have at least this much more than it has taken.
constexpr double MinAhead = 2;

} // namespace

std::uint64_t RolloutAllowances::Target::reserved() const {
  return m_IsNew ? std::max(m_Allowance, m_Arrivals) : 0;
}

bool RolloutAllowances::isSameLife(const Target &Known,
                                   const RolloutSample &Sample) {
  if (Known.m_Incarnation != Sample.m_Incarnation)
    return false;
  return Known.m_Instance == Sample.m_Instance ||
         Sample.m_Arrivals >= Known.m_Arrivals;
}

void RolloutAllowances::endLife(const Target &Ended) {
  m_EndedArrivals += static_cast<double>(Ended.m_Arrivals);
  m_EndedReserved += static_cast<double>(Ended.reserved());
}

void RolloutAllowances::onSample(const RolloutSample &Sample, absl::Time Now) {
  bool IsNew = Sample.m_Version == m_NewVersion;
  auto [Found, IsFirst] = m_Targets.try_emplace(Sample.m_Daemon);
  Target &Known = Found->second;
  if (!IsFirst && Sample.m_Incarnation < Known.m_Incarnation)
    return;
  bool IsSame = !IsFirst && isSameLife(Known, Sample) && Known.m_IsNew == IsNew;
  if (!IsSame) {
    if (!IsFirst)
      endLife(Known);
    Known = Target{.m_Incarnation = Sample.m_Incarnation,
                   .m_Arrivals = Sample.m_Arrivals};
  }
  Known.m_Instance = Sample.m_Instance;
  Known.m_IsNew = IsNew;
  Known.m_IsOpen = Sample.m_IsOpen;
  Known.m_IsLost = false;
  Known.m_HeardAt = Now;
  if (Sample.m_Arrivals > Known.m_Arrivals) {
    auto More = static_cast<double>(Sample.m_Arrivals - Known.m_Arrivals);
    m_Lately.emplace_back(Now, More);
    Known.m_Arrivals = Sample.m_Arrivals;
    Known.m_Recent += More;
  }
  Known.m_Recent *= RecentKept;
  while (!m_Lately.empty() && Now - m_Lately.front().first > RateWindow)
    m_Lately.pop_front();
}

void RolloutAllowances::onDaemonLost(const std::string &Daemon) {
  auto Found = m_Targets.find(Daemon);
  if (Found != m_Targets.end())
    Found->second.m_IsLost = true;
}

double RolloutAllowances::arrivals() const {
  double Sum = m_EndedArrivals;
  for (const auto &[Daemon, Known] : m_Targets)
    Sum += static_cast<double>(Known.m_Arrivals);
  return Sum;
}

double RolloutAllowances::arrivalRate(absl::Time Now) const {
  double Sum = 0;
  for (const auto &[At, More] : m_Lately)
    Sum += Now - At <= RateWindow ? More : 0;
  return Sum / absl::ToDoubleSeconds(RateWindow);
}

double RolloutAllowances::taken() const {
  double Sum = m_EndedReserved;
  for (const auto &[Daemon, Known] : m_Targets)
    Sum += Known.m_IsNew ? static_cast<double>(Known.m_Arrivals) : 0;
  return Sum;
}

double RolloutAllowances::reserved() const {
  double Sum = m_EndedReserved;
  for (const auto &[Daemon, Known] : m_Targets)
    Sum += static_cast<double>(Known.reserved());
  return Sum;
}

bool RolloutAllowances::isServed(const Target &Of, absl::Time Now) {
  return Of.m_IsNew && !Of.m_IsLost && Now - Of.m_HeardAt <= MaxSilence;
}

std::vector<RolloutAllowances::Need> RolloutAllowances::needs(double Ahead,
                                                              absl::Time Now) {
  std::vector<Need> Needs;
  double Recent = 0;
  for (auto &[Daemon, Known] : m_Targets) {
    if (!isServed(Known, Now) || !Known.m_IsOpen)
      continue;
    Needs.push_back({.m_Target = &Known});
    Recent += Known.m_Recent;
  }
  for (Need &Of : Needs) {
    double Even = 1 / static_cast<double>(Needs.size());
    double Weight = Even;
    if (Recent > 0)
      Weight =
          EvenPart * Even + (1 - EvenPart) * Of.m_Target->m_Recent / Recent;
    double Wanted = static_cast<double>(Of.m_Target->m_Arrivals) +
                    std::max(MinAhead, std::ceil(Ahead * Weight));
    Of.m_Requests =
        std::max(0.0, Wanted - static_cast<double>(Of.m_Target->reserved()));
  }
  return Needs;
}

void RolloutAllowances::raise(double Budget, double Ahead, absl::Time Now) {
  std::vector<Need> Needs = needs(Ahead, Now);
  double Sum = 0;
  for (const Need &Of : Needs)
    Sum += Of.m_Requests;
  double Free = std::floor(Budget - reserved());
  if (Sum <= 0 || Free < 1)
    return;
  double Part = std::min(1.0, Free / Sum);
  std::sort(Needs.begin(), Needs.end(),
            [](const Need &Left, const Need &Right) {
              return Left.m_Requests > Right.m_Requests;
            });
  for (const Need &Of : Needs) {
    double More = std::min(Free, std::ceil(Of.m_Requests * Part));
    Free -= More;
    if (More > 0)
      Of.m_Target->m_Allowance =
          Of.m_Target->reserved() + static_cast<std::uint64_t>(More);
  }
}

absl::btree_map<std::string, std::uint64_t>
RolloutAllowances::current(absl::Time Now) const {
  absl::btree_map<std::string, std::uint64_t> Allowances;
  for (const auto &[Daemon, Known] : m_Targets) {
    if (isServed(Known, Now))
      Allowances[Daemon] = Known.m_Allowance;
  }
  return Allowances;
}

} // namespace knapweedloft::policy
