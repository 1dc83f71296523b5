#include "policy/RateShares.h"

#include <algorithm>
#include <cmath>

namespace knapweedloft::policy {
namespace {

/// Demand below this many requests a second is not told to others.
constexpr double LeastDemand = 0.05;
/// The least that a bucket accepts.
constexpr double LeastRate = 1e-3;
constexpr double LeastBurst = 1;

} // namespace

void RateShares::setRate(const std::string &Customer,
                         const TokenBucket::Options &Rate, absl::Time Now) {
  auto Found = m_Accounts.find(Customer);
  if (Found != m_Accounts.end()) {
    if (Found->second.m_Rate == Rate)
      return;
    Found->second.m_Rate = Rate;
    setShare(Found->second, Now);
    return;
  }
  Account Fresh{
      .m_Rate = Rate,
      .m_Bucket = TokenBucket({LeastRate, LeastBurst}, Now),
      .m_Share = 1.0 / static_cast<double>(std::max<std::size_t>(m_Daemons, 1)),
      .m_Counted = Now};
  Fresh.m_Bucket.setLimits(limitsOf(Fresh), Now);
  Fresh.m_Bucket.putBack(Rate.m_Burst * Fresh.m_Share * m_Settings.m_StartPart,
                         Now);
  m_Accounts.emplace(Customer, std::move(Fresh));
}

void RateShares::clearRate(const std::string &Customer) {
  m_Accounts.erase(Customer);
}

void RateShares::onDemand(const std::string &Daemon,
                          const std::string &Customer, double PerSecond,
                          absl::Time Now) {
  auto Found = m_Accounts.find(Customer);
  if (Found != m_Accounts.end())
    Found->second.m_Others[Daemon] = {PerSecond, Now};
}

void RateShares::decay(Account &Of, absl::Time Now) const {
  absl::Duration Passed = std::max(Now - Of.m_Counted, absl::ZeroDuration());
  Of.m_OwnDemand *=
      std::exp(-absl::FDivDuration(Passed, m_Settings.m_DemandOver));
  Of.m_Counted = Now;
}

bool RateShares::tryTake(const std::string &Customer, absl::Time Now) {
  auto Found = m_Accounts.find(Customer);
  if (Found == m_Accounts.end())
    return true;
  Account &Of = Found->second;
  decay(Of, Now);
  Of.m_OwnDemand += 1 / absl::ToDoubleSeconds(m_Settings.m_DemandOver);
  return Of.m_Bucket.tryTake(1, Now);
}

void RateShares::putBack(const std::string &Customer, absl::Time Now) {
  auto Found = m_Accounts.find(Customer);
  if (Found != m_Accounts.end())
    Found->second.m_Bucket.putBack(1, Now);
}

absl::Duration RateShares::waitFor(const std::string &Customer,
                                   absl::Time Now) const {
  auto Found = m_Accounts.find(Customer);
  return Found == m_Accounts.end() ? absl::ZeroDuration()
                                   : Found->second.m_Bucket.waitFor(1, Now);
}

std::vector<RateShares::Demand> RateShares::demands() const {
  std::vector<Demand> Own;
  for (const auto &[Customer, Of] : m_Accounts)
    if (Of.m_ToldDemand >= LeastDemand)
      Own.push_back({Customer, Of.m_ToldDemand});
  return Own;
}

TokenBucket::Options RateShares::limitsOf(const Account &Of) const {
  return {std::max(Of.m_Rate.m_RatePerSecond * Of.m_Share, LeastRate),
          std::max(Of.m_Rate.m_Burst * Of.m_Share, LeastBurst)};
}

void RateShares::setShare(Account &Of, absl::Time Now) const {
  double Others = 0;
  for (const auto &[Daemon, Words] : Of.m_Others)
    Others += Words.m_PerSecond;
  double Own = Of.m_FormerDemand;
  double Sum = Others + Own;
  double Even = 1.0 / static_cast<double>(std::max<std::size_t>(m_Daemons, 1));
  double ByDemand = Sum > 0 ? Own / Sum : Even;
  Of.m_Share =
      m_Settings.m_EvenPart * Even + (1 - m_Settings.m_EvenPart) * ByDemand;
  Of.m_Bucket.setLimits(limitsOf(Of), Now);
}

void RateShares::update(absl::Time Now) {
  for (auto &[Customer, Of] : m_Accounts) {
    decay(Of, Now);
    Of.m_FormerDemand = Of.m_ToldDemand;
    Of.m_ToldDemand = Of.m_OwnDemand;
    absl::erase_if(Of.m_Others, [&](const auto &One) {
      return Now - One.second.m_At > m_Settings.m_KeepFor;
    });
    setShare(Of, Now);
  }
}

double RateShares::shareOf(const std::string &Customer) const {
  auto Found = m_Accounts.find(Customer);
  return Found == m_Accounts.end() ? 1 : Found->second.m_Share;
}

} // namespace knapweedloft::policy
