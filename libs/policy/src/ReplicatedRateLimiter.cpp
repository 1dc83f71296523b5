#include "policy/ReplicatedRateLimiter.h"

#include "policy/RateShard.h"

#include "absl/random/distributions.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace knapweedloft::policy {
namespace {

/// Share of the burst above which a customer counts as within its rate.
constexpr double FreeTokenLevel = 0.5;
/// Minimum share of the rate in the computation of a wait, so that it is
/// finite.
constexpr double MinRateShare = 0.01;

} // namespace

void ReplicatedRateLimiter::setRate(const std::string &Customer,
                                    const Rate &Limit, absl::Time Now) {
  auto Found = m_Replicas.find(Customer);
  if (Found != m_Replicas.end()) {
    accrue(Found->second, Now);
    Found->second.m_Rate = Limit;
    Found->second.m_Level = std::min(Found->second.m_Level, Limit.m_Burst);
    return;
  }
  Replica Fresh;
  Fresh.m_Rate = Limit;
  Fresh.m_Level = Limit.m_Burst * m_Settings.m_InitialBurstShare;
  Fresh.m_Created = Now;
  Fresh.m_Updated = Now;
  // Every daemon may grant this much before the others receive its report.
  Fresh.m_RoundLimit = m_AreMembersKnown ? 1 : 0;
  m_Replicas.emplace(Customer, std::move(Fresh));
  m_CustomerNames[stableHash(Customer)] = Customer;
}

void ReplicatedRateLimiter::clearRate(const std::string &Customer) {
  m_Replicas.erase(Customer);
  m_CustomerNames.erase(stableHash(Customer));
}

void ReplicatedRateLimiter::onMember(const std::string &Name, absl::Time Now) {
  m_Daemons.try_emplace(
      Name,
      Daemon{.m_IsReachable = false, .m_WasReachable = false, .m_Since = Now});
}

void ReplicatedRateLimiter::onMembersKnown(absl::Time Now,
                                           absl::BitGenRef Random) {
  if (std::exchange(m_AreMembersKnown, true))
    return;
  m_RoundStartedAt = Now;
  FleetSize Fleet = fleetSize();
  for (auto &[Customer, Copy] : m_Replicas)
    beginRound(Copy, Fleet, 1, Random);
}

void ReplicatedRateLimiter::onReachability(const std::string &Name,
                                           bool IsReachable, absl::Time Now) {
  m_Daemons[Name] = {.m_IsReachable = IsReachable, .m_Since = Now};
}

void ReplicatedRateLimiter::onSpent(const Sender &From, CustomerHash Customer,
                                    double Total, absl::Time Now) {
  auto Named = m_CustomerNames.find(Customer);
  if (Named == m_CustomerNames.end())
    return;
  Replica &Copy = m_Replicas.at(Named->second);
  PeerUsage &Known = Copy.m_Peers[From.m_Name];
  if (Known.m_Incarnation != From.m_Incarnation) {
    Known.m_Incarnation = From.m_Incarnation;
    // What the sender took before this replica was created does not count
    // against the replica's level.
    Known.m_Total = From.m_Started < Copy.m_Created ? Total : 0;
  }
  double Taken = Total - Known.m_Total;
  Known.m_Total = Total;
  Known.m_PerSecond +=
      Taken / absl::ToDoubleSeconds(m_Settings.m_AveragingPeriod);
  accrue(Copy, Now);
  Copy.m_Level = std::min(Copy.m_Level - Taken, Copy.m_Rate.m_Burst);
}

void ReplicatedRateLimiter::accrue(Replica &Copy, absl::Time Now) const {
  absl::Duration Passed = std::max(Now - Copy.m_Updated, absl::ZeroDuration());
  double Accrued = absl::ToDoubleSeconds(Passed) * Copy.m_Rate.m_PerSecond *
                   Copy.m_RateShare;
  Copy.m_Level = std::min(Copy.m_Level + Accrued, Copy.m_Rate.m_Burst);
  Copy.m_Updated = std::max(Copy.m_Updated, Now);
}

bool ReplicatedRateLimiter::tryTake(const std::string &Customer,
                                    absl::Time Now) {
  auto Found = m_Replicas.find(Customer);
  if (Found == m_Replicas.end())
    return true;
  Replica &Copy = Found->second;
  accrue(Copy, Now);
  if (Copy.m_Level < 1 || Copy.m_RoundTaken + 1 > Copy.m_RoundLimit) {
    Copy.m_RefusedAt = Now;
    return false;
  }
  Copy.m_Level -= 1;
  Copy.m_RoundTaken += 1;
  Copy.m_OwnTotal += 1;
  Copy.m_OwnPending += 1;
  return true;
}

void ReplicatedRateLimiter::putBack(const std::string &Customer,
                                    absl::Time Now) {
  auto Found = m_Replicas.find(Customer);
  if (Found == m_Replicas.end())
    return;
  Replica &Copy = Found->second;
  accrue(Copy, Now);
  Copy.m_Level = std::min(Copy.m_Level + 1, Copy.m_Rate.m_Burst);
  Copy.m_RoundTaken -= 1;
  Copy.m_OwnTotal -= 1;
  Copy.m_OwnPending -= 1;
}

absl::Duration ReplicatedRateLimiter::waitFor(const std::string &Customer,
                                              absl::Time Now) const {
  auto Found = m_Replicas.find(Customer);
  if (Found == m_Replicas.end())
    return absl::ZeroDuration();
  const Replica &Copy = Found->second;
  absl::Duration Round =
      std::max(m_RoundStartedAt + m_Settings.m_RoundInterval - Now,
               absl::ZeroDuration());
  double PerSecond =
      Copy.m_Rate.m_PerSecond * std::max(Copy.m_RateShare, MinRateShare);
  if (PerSecond <= 0)
    return absl::InfiniteDuration();
  double Missing = std::max(0.0, 1 - Copy.m_Level);
  return std::max(Round, absl::Seconds(Missing / PerSecond));
}

bool ReplicatedRateLimiter::update(absl::Time Now, absl::BitGenRef Random) {
  if (Now - m_RoundStartedAt < m_Settings.m_RoundInterval)
    return false;
  if (!m_AreMembersKnown)
    return false;
  absl::Duration Passed =
      std::min(Now - m_RoundStartedAt, m_Settings.m_AveragingPeriod);
  m_RoundStartedAt = Now;
  dropUnreachable(Now);
  double Decay =
      std::exp(-absl::FDivDuration(Passed, m_Settings.m_AveragingPeriod));
  FleetSize Fleet = fleetSize();
  for (auto &[Customer, Copy] : m_Replicas) {
    accrue(Copy, Now);
    beginRound(Copy, Fleet, Decay, Random);
  }
  return true;
}

void ReplicatedRateLimiter::dropUnreachable(absl::Time Now) {
  absl::erase_if(m_Daemons, [&](const auto &One) {
    const Daemon &Known = One.second;
    absl::Duration Retention = Known.m_WasReachable
                                   ? m_Settings.m_UnreachableRetention
                                   : m_Settings.m_FirstContactTimeout;
    return !Known.m_IsReachable && Now - Known.m_Since > Retention;
  });
}

ReplicatedRateLimiter::FleetSize ReplicatedRateLimiter::fleetSize() const {
  FleetSize Fleet;
  for (const auto &[Name, Known] : m_Daemons)
    (Known.m_IsReachable ? Fleet.m_Reachable : Fleet.m_Unreachable) += 1;
  return Fleet;
}

double ReplicatedRateLimiter::unreportedOf(const Replica &Copy) const {
  auto Unreported = std::count_if(
      m_Daemons.begin(), m_Daemons.end(), [this](const auto &One) {
        const Daemon &Known = One.second;
        return Known.m_IsReachable &&
               m_RoundStartedAt - Known.m_Since < m_Settings.m_FirstReportTime;
      });
  return static_cast<double>(Unreported) * Copy.m_RoundTaken;
}

void ReplicatedRateLimiter::countOwn(Replica &Copy) const {
  // Tokens that were put back may have been counted rounds ago.
  Copy.m_OwnPerSecond =
      std::max(0.0, Copy.m_OwnPerSecond +
                        Copy.m_OwnPending / absl::ToDoubleSeconds(
                                                m_Settings.m_AveragingPeriod));
  Copy.m_OwnPending = 0;
}

void ReplicatedRateLimiter::decayUsage(Replica &Copy, double Decay) const {
  Copy.m_OwnPerSecond *= Decay;
  for (auto &[Name, Known] : Copy.m_Peers) {
    auto Found = m_Daemons.find(Name);
    if (Found == m_Daemons.end())
      Known.m_PerSecond = 0;
    // The last usage of an unreachable daemon does not decay.
    else if (Found->second.m_IsReachable)
      Known.m_PerSecond *= Decay;
  }
}

ReplicatedRateLimiter::Usage
ReplicatedRateLimiter::usageOf(const Replica &Copy) const {
  Usage Recent{.m_Reachable = Copy.m_OwnPerSecond};
  for (const auto &[Name, Known] : Copy.m_Peers) {
    auto Found = m_Daemons.find(Name);
    if (Found != m_Daemons.end())
      (Found->second.m_IsReachable ? Recent.m_Reachable
                                   : Recent.m_Unreachable) += Known.m_PerSecond;
  }
  return Recent;
}

double ReplicatedRateLimiter::leftBy(const FleetSize &Fleet,
                                     const Usage &Recent) const {
  double Even = Fleet.m_Unreachable / (Fleet.m_Reachable + Fleet.m_Unreachable);
  double Total = Recent.m_Reachable + Recent.m_Unreachable;
  double ByUsage = Total > 0 ? Recent.m_Unreachable / Total : Even;
  return 1 - (m_Settings.m_EvenShare * Even +
              (1 - m_Settings.m_EvenShare) * ByUsage);
}

double ReplicatedRateLimiter::shareOf(const Replica &Copy,
                                      const FleetSize &Fleet,
                                      const Usage &Recent) const {
  double Even = 1 / Fleet.m_Reachable;
  double ByUsage =
      Recent.m_Reachable > 0 ? Copy.m_OwnPerSecond / Recent.m_Reachable : Even;
  return m_Settings.m_EvenShare * Even + (1 - m_Settings.m_EvenShare) * ByUsage;
}

void ReplicatedRateLimiter::beginRound(Replica &Copy, const FleetSize &Fleet,
                                       double Decay,
                                       absl::BitGenRef Random) const {
  if (Copy.m_Level < 1)
    Copy.m_EmptyAt = m_RoundStartedAt;
  double Level = Copy.m_Level - unreportedOf(Copy);
  bool IsHalfFull = Level > FreeTokenLevel * Copy.m_Rate.m_Burst;
  bool WasShort =
      m_RoundStartedAt - Copy.m_EmptyAt <= m_Settings.m_ShortageMemory;
  if (IsHalfFull && !WasShort)
    countOwn(Copy);
  decayUsage(Copy, Decay);
  Usage Recent = usageOf(Copy);
  double Share = shareOf(Copy, Fleet, Recent);
  Copy.m_RateShare = leftBy(Fleet, Recent);
  double Refill = Copy.m_Rate.m_PerSecond * Copy.m_RateShare *
                  absl::ToDoubleSeconds(m_Settings.m_RoundInterval);
  // Refill already excludes the share of unreachable daemons; the level does
  // not.
  double Limit = std::max(0.0, Level * Copy.m_RateShare + Refill) * Share;
  // Round at random, so that the expected sum of small shares is exact.
  double Whole = std::floor(Limit);
  Limit = Whole + (absl::Uniform(Random, 0.0, 1.0) < Limit - Whole ? 1 : 0);
  bool WasRefused =
      m_RoundStartedAt - Copy.m_RefusedAt < m_Settings.m_RefusalMemory;
  if (IsHalfFull && !WasRefused)
    Limit = std::max(Limit, m_Settings.m_FreeTokens);
  Copy.m_RoundLimit = Limit;
  Copy.m_RoundTaken = 0;
  countOwn(Copy);
}

std::vector<ReplicatedRateLimiter::Spent> ReplicatedRateLimiter::takeChanged() {
  std::vector<Spent> Changed;
  for (auto &[Customer, Copy] : m_Replicas) {
    if (Copy.m_OwnTotal == Copy.m_ReportedTotal)
      continue;
    Copy.m_ReportedTotal = Copy.m_OwnTotal;
    Changed.push_back({stableHash(Customer), Copy.m_OwnTotal});
  }
  return Changed;
}

std::vector<ReplicatedRateLimiter::Spent> ReplicatedRateLimiter::all() const {
  std::vector<Spent> Totals;
  for (const auto &[Customer, Copy] : m_Replicas)
    Totals.push_back({stableHash(Customer), Copy.m_OwnTotal});
  return Totals;
}

} // namespace knapweedloft::policy
