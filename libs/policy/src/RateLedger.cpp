#include "policy/RateLedger.h"

#include "policy/RateShard.h"

#include "absl/random/distributions.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace knapweedloft::policy {
namespace {

/// Part of the burst above which a customer is taken to be inside its rate.
constexpr double HalfFull = 0.5;
/// The least of a rate that a daemon goes on by, so that a wait ends.
constexpr double LeastPart = 0.01;

} // namespace

void RateLedger::setRate(const std::string &Customer, const Rate &Limit,
                         absl::Time Now) {
  auto Found = m_Accounts.find(Customer);
  if (Found != m_Accounts.end()) {
    accrue(Found->second, Now);
    Found->second.m_Rate = Limit;
    Found->second.m_Level = std::min(Found->second.m_Level, Limit.m_Burst);
    return;
  }
  Account Fresh;
  Fresh.m_Rate = Limit;
  Fresh.m_Level = Limit.m_Burst * m_Settings.m_StartPart;
  Fresh.m_Created = Now;
  Fresh.m_Updated = Now;
  // Every daemon may grant as much before the others hear of it.
  Fresh.m_RoundLimit = m_AreMembersKnown ? 1 : 0;
  m_Accounts.emplace(Customer, std::move(Fresh));
  m_Names[stableHash(Customer)] = Customer;
}

void RateLedger::clearRate(const std::string &Customer) {
  m_Accounts.erase(Customer);
  m_Names.erase(stableHash(Customer));
}

void RateLedger::onMember(const std::string &Name, absl::Time Now) {
  m_Daemons.try_emplace(
      Name, Daemon{.m_IsHeard = false, .m_WasHeard = false, .m_Since = Now});
}

void RateLedger::onMembersKnown(absl::Time Now, absl::BitGenRef Random) {
  if (std::exchange(m_AreMembersKnown, true))
    return;
  m_RoundBegan = Now;
  Heads Fleet = heads();
  for (auto &[Customer, Of] : m_Accounts)
    beginRound(Of, Fleet, 1, Random);
}

void RateLedger::onDaemon(const std::string &Name, bool IsHeard,
                          absl::Time Now) {
  m_Daemons[Name] = {.m_IsHeard = IsHeard, .m_Since = Now};
}

void RateLedger::onSpent(const Teller &From, CustomerHash Customer,
                         double Total, absl::Time Now) {
  auto Named = m_Names.find(Customer);
  if (Named == m_Names.end())
    return;
  Account &Of = m_Accounts.at(Named->second);
  Other &Known = Of.m_Others[From.m_Name];
  if (Known.m_Incarnation != From.m_Incarnation) {
    Known.m_Incarnation = From.m_Incarnation;
    // What it took before this copy was made is not in the copy's level.
    Known.m_Total = From.m_Started < Of.m_Created ? Total : 0;
  }
  double Taken = Total - Known.m_Total;
  Known.m_Total = Total;
  Known.m_PerSecond += Taken / absl::ToDoubleSeconds(m_Settings.m_Over);
  accrue(Of, Now);
  Of.m_Level = std::min(Of.m_Level - Taken, Of.m_Rate.m_Burst);
}

void RateLedger::accrue(Account &Of, absl::Time Now) const {
  absl::Duration Passed = std::max(Now - Of.m_Updated, absl::ZeroDuration());
  double Accrued =
      absl::ToDoubleSeconds(Passed) * Of.m_Rate.m_PerSecond * Of.m_LeftPart;
  Of.m_Level = std::min(Of.m_Level + Accrued, Of.m_Rate.m_Burst);
  Of.m_Updated = std::max(Of.m_Updated, Now);
}

bool RateLedger::tryTake(const std::string &Customer, absl::Time Now) {
  auto Found = m_Accounts.find(Customer);
  if (Found == m_Accounts.end())
    return true;
  Account &Of = Found->second;
  accrue(Of, Now);
  if (Of.m_Level < 1 || Of.m_RoundTaken + 1 > Of.m_RoundLimit)
    return false;
  Of.m_Level -= 1;
  Of.m_RoundTaken += 1;
  Of.m_OwnTotal += 1;
  Of.m_OwnPerSecond += 1 / absl::ToDoubleSeconds(m_Settings.m_Over);
  return true;
}

void RateLedger::putBack(const std::string &Customer, absl::Time Now) {
  auto Found = m_Accounts.find(Customer);
  if (Found == m_Accounts.end())
    return;
  Account &Of = Found->second;
  accrue(Of, Now);
  Of.m_Level = std::min(Of.m_Level + 1, Of.m_Rate.m_Burst);
  Of.m_RoundTaken -= 1;
  Of.m_OwnTotal -= 1;
}

absl::Duration RateLedger::waitFor(const std::string &Customer,
                                   absl::Time Now) const {
  auto Found = m_Accounts.find(Customer);
  if (Found == m_Accounts.end())
    return absl::ZeroDuration();
  const Account &Of = Found->second;
  absl::Duration Round =
      std::max(m_RoundBegan + m_Settings.m_Round - Now, absl::ZeroDuration());
  double PerSecond = Of.m_Rate.m_PerSecond * std::max(Of.m_LeftPart, LeastPart);
  if (PerSecond <= 0)
    return absl::InfiniteDuration();
  double Missing = std::max(0.0, 1 - Of.m_Level);
  return std::max(Round, absl::Seconds(Missing / PerSecond));
}

bool RateLedger::update(absl::Time Now, absl::BitGenRef Random) {
  if (Now - m_RoundBegan < m_Settings.m_Round)
    return false;
  if (!m_AreMembersKnown)
    return false;
  absl::Duration Passed = std::min(Now - m_RoundBegan, m_Settings.m_Over);
  m_RoundBegan = Now;
  forgetUnheard(Now);
  double Decay = std::exp(-absl::FDivDuration(Passed, m_Settings.m_Over));
  Heads Fleet = heads();
  for (auto &[Customer, Of] : m_Accounts) {
    accrue(Of, Now);
    beginRound(Of, Fleet, Decay, Random);
  }
  return true;
}

void RateLedger::forgetUnheard(absl::Time Now) {
  absl::erase_if(m_Daemons, [&](const auto &One) {
    const Daemon &Known = One.second;
    absl::Duration For =
        Known.m_WasHeard ? m_Settings.m_KeepFor : m_Settings.m_AwaitFor;
    return !Known.m_IsHeard && Now - Known.m_Since > For;
  });
}

RateLedger::Heads RateLedger::heads() const {
  Heads Fleet;
  for (const auto &[Name, Known] : m_Daemons)
    (Known.m_IsHeard ? Fleet.m_Heard : Fleet.m_Unheard) += 1;
  return Fleet;
}

void RateLedger::beginRound(Account &Of, const Heads &Fleet, double Decay,
                            absl::BitGenRef Random) const {
  Of.m_OwnPerSecond *= Decay;
  double Heard = Of.m_OwnPerSecond;
  double Unheard = 0;
  for (auto &[Name, Known] : Of.m_Others) {
    auto Found = m_Daemons.find(Name);
    if (Found == m_Daemons.end()) {
      Known.m_PerSecond = 0;
      continue;
    }
    // What an unheard one took last stands as it was.
    if (Found->second.m_IsHeard)
      Known.m_PerSecond *= Decay;
    (Found->second.m_IsHeard ? Heard : Unheard) += Known.m_PerSecond;
  }
  double Even = Fleet.m_Unheard / (Fleet.m_Heard + Fleet.m_Unheard);
  double ByTaking = Heard + Unheard > 0 ? Unheard / (Heard + Unheard) : Even;
  double Left = 1 - (m_Settings.m_EvenPart * Even +
                     (1 - m_Settings.m_EvenPart) * ByTaking);
  Of.m_LeftPart = Left;
  double Part = m_Settings.m_EvenPart / Fleet.m_Heard;
  Part += (1 - m_Settings.m_EvenPart) *
          (Heard > 0 ? Of.m_OwnPerSecond / Heard : 1 / Fleet.m_Heard);
  double Refill =
      Of.m_Rate.m_PerSecond * Left * absl::ToDoubleSeconds(m_Settings.m_Round);
  // The refill is this side's already; the level is there for the unheard too.
  double Limit = std::max(0.0, Of.m_Level * Left + Refill) * Part;
  // Rounded at random, so that small parts add up to what they should.
  double Whole = std::floor(Limit);
  Limit = Whole + (absl::Uniform(Random, 0.0, 1.0) < Limit - Whole ? 1 : 0);
  if (Of.m_Level > HalfFull * Of.m_Rate.m_Burst)
    Limit = std::max(Limit, m_Settings.m_FreeTokens);
  Of.m_RoundLimit = Limit;
  Of.m_RoundTaken = 0;
}

std::vector<RateLedger::Spent> RateLedger::takeChanged() {
  std::vector<Spent> Changed;
  for (auto &[Customer, Of] : m_Accounts) {
    if (Of.m_OwnTotal == Of.m_ToldTotal)
      continue;
    Of.m_ToldTotal = Of.m_OwnTotal;
    Changed.push_back({stableHash(Customer), Of.m_OwnTotal});
  }
  return Changed;
}

std::vector<RateLedger::Spent> RateLedger::all() const {
  std::vector<Spent> Totals;
  for (const auto &[Customer, Of] : m_Accounts)
    Totals.push_back({stableHash(Customer), Of.m_OwnTotal});
  return Totals;
}

} // namespace knapweedloft::policy
