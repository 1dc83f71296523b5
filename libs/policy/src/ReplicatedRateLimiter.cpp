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
  if (Copy.m_Level < 1 || Copy.m_RoundTaken + 1 > Copy.m_RoundLimit)
    return false;
  Copy.m_Level -= 1;
  Copy.m_RoundTaken += 1;
  Copy.m_OwnTotal += 1;
  Copy.m_OwnPerSecond +=
      1 / absl::ToDoubleSeconds(m_Settings.m_AveragingPeriod);
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

void ReplicatedRateLimiter::beginRound(Replica &Copy, const FleetSize &Fleet,
                                       double Decay,
                                       absl::BitGenRef Random) const {
  Copy.m_OwnPerSecond *= Decay;
  double Reachable = Copy.m_OwnPerSecond;
  double Unreachable = 0;
  for (auto &[Name, Known] : Copy.m_Peers) {
    auto Found = m_Daemons.find(Name);
    if (Found == m_Daemons.end()) {
      Known.m_PerSecond = 0;
      continue;
    }
    // The last usage of an unreachable daemon does not decay.
    if (Found->second.m_IsReachable)
      Known.m_PerSecond *= Decay;
    (Found->second.m_IsReachable ? Reachable : Unreachable) +=
        Known.m_PerSecond;
  }
  double Even = Fleet.m_Unreachable / (Fleet.m_Reachable + Fleet.m_Unreachable);
  double ByUsage = Reachable + Unreachable > 0
                       ? Unreachable / (Reachable + Unreachable)
                       : Even;
  double Left = 1 - (m_Settings.m_EvenShare * Even +
                     (1 - m_Settings.m_EvenShare) * ByUsage);
  Copy.m_RateShare = Left;
  double Share = m_Settings.m_EvenShare / Fleet.m_Reachable;
  Share +=
      (1 - m_Settings.m_EvenShare) *
      (Reachable > 0 ? Copy.m_OwnPerSecond / Reachable : 1 / Fleet.m_Reachable);
  double Refill = Copy.m_Rate.m_PerSecond * Left *
                  absl::ToDoubleSeconds(m_Settings.m_RoundInterval);
  // Refill already excludes the share of unreachable daemons; the level does
  // not.
  double Limit = std::max(0.0, Copy.m_Level * Left + Refill) * Share;
  // Round at random, so that the expected sum of small shares is exact.
  double Whole = std::floor(Limit);
  Limit = Whole + (absl::Uniform(Random, 0.0, 1.0) < Limit - Whole ? 1 : 0);
  if (Copy.m_Level > FreeTokenLevel * Copy.m_Rate.m_Burst)
    Limit = std::max(Limit, m_Settings.m_FreeTokens);
  Copy.m_RoundLimit = Limit;
  Copy.m_RoundTaken = 0;
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
