#include "TargetChooserImpl.h"

#include "policy/PolicyError.h"

#include "absl/random/distributions.h"

#include <algorithm>
#include <cmath>

namespace knapweedloft::policy {
namespace {

/// A load counts half when it is so old.
constexpr absl::Duration LoadHalfLife = absl::Milliseconds(500);
/// Assumed of a target that has fed nothing back yet.
constexpr double UnknownLimit = 4;
/// Pressure added for a target all of whose answers are failures.
constexpr double FailurePenalty = 2;
/// Share of failures from which a target is ejected, if others fail less than
/// half as often.
constexpr double EjectionShare = 0.5;

double halfLives(absl::Duration Age) {
  return std::exp2(
      -absl::FDivDuration(std::max(Age, absl::ZeroDuration()), LoadHalfLife));
}

} // namespace

TargetChooser::Impl::Slot &TargetChooser::Impl::at(TargetHandle Target) {
  if (Target.m_Index >= m_Slots.size())
    throw PolicyError("no such target");
  return m_Slots[Target.m_Index];
}

const TargetInfo &TargetChooser::Impl::info(TargetHandle Target) const {
  if (Target.m_Index >= m_Slots.size())
    throw PolicyError("no such target");
  return m_Slots[Target.m_Index].m_Info;
}

std::optional<TargetHandle>
TargetChooser::Impl::find(model::Incarnation Incarnation) const {
  for (std::uint32_t Index = 0; Index < m_Slots.size(); ++Index)
    if (m_Slots[Index].m_IsListed &&
        m_Slots[Index].m_Info.m_Incarnation == Incarnation)
      return TargetHandle{Index};
  return std::nullopt;
}

std::uint32_t TargetChooser::Impl::freeSlot() {
  for (std::uint32_t Index = 0; Index < m_Slots.size(); ++Index) {
    Slot &One = m_Slots[Index];
    if (One.m_IsListed || One.m_Outstanding > 0)
      continue;
    One = {};
    return Index;
  }
  m_Slots.emplace_back();
  return static_cast<std::uint32_t>(m_Slots.size() - 1);
}

void TargetChooser::Impl::setTargets(const std::vector<TargetInfo> &Targets) {
  std::vector<std::uint32_t> Kept;
  std::vector<const TargetInfo *> New;
  for (const TargetInfo &Info : Targets) {
    auto Known = find(Info.m_Incarnation);
    if (!Known) {
      New.push_back(&Info);
      continue;
    }
    m_Slots[Known->m_Index].m_Info = Info;
    Kept.push_back(Known->m_Index);
  }
  for (Slot &One : m_Slots)
    One.m_IsListed = false;
  for (std::uint32_t Index : Kept)
    m_Slots[Index].m_IsListed = true;
  for (const TargetInfo *Info : New) {
    Slot &One = m_Slots[freeSlot()];
    One.m_Info = *Info;
    One.m_IsListed = true;
  }
  rebuildSubset();
}

std::size_t TargetChooser::Impl::tierOf(const TargetInfo &Info) const {
  if (!m_Settings.m_UseLocality)
    return 0;
  if (Info.m_Region != m_Settings.m_Region)
    return 2;
  return Info.m_DataCenter == m_Settings.m_DataCenter ? 0 : 1;
}

void TargetChooser::Impl::rebuildSubset() {
  std::vector<SubsetCandidate> Candidates;
  for (std::uint32_t Index = 0; Index < m_Slots.size(); ++Index) {
    const Slot &One = m_Slots[Index];
    if (!One.m_IsListed || One.m_Info.m_IsWithdrawn)
      continue;
    Candidates.push_back(
        {Index, tierOf(One.m_Info),
         rendezvousHash(m_Settings.m_Seed, One.m_Info.m_Incarnation)});
  }
  m_Tiers = chooseSubset(std::move(Candidates), m_Settings.m_SubsetSize);
}

bool TargetChooser::Impl::isOpen(std::uint32_t Index,
                                 const ChoiceContext &Context,
                                 absl::Time Now) const {
  auto Excluded = Context.m_Excluded;
  if (std::find(Excluded.begin(), Excluded.end(), TargetHandle{Index}) !=
      Excluded.end())
    return false;
  const Slot &One = m_Slots[Index];
  return One.m_Health.isUsable(One.m_Outstanding, Now);
}

std::optional<std::uint32_t>
TargetChooser::Impl::drawOpen(const std::vector<std::uint32_t> &Tier,
                              std::uint32_t Other, const ChoiceContext &Context,
                              absl::BitGenRef Random, absl::Time Now) const {
  if (Tier.empty())
    return std::nullopt;
  std::size_t First = absl::Uniform<std::size_t>(Random, 0, Tier.size());
  for (std::size_t Step = 0; Step < Tier.size(); ++Step) {
    std::uint32_t Index = Tier[(First + Step) % Tier.size()];
    if (Index != Other && isOpen(Index, Context, Now))
      return Index;
  }
  return std::nullopt;
}

std::optional<TargetChooser::Impl::Draw> TargetChooser::Impl::drawLessPressed(
    std::size_t Tier, const ChoiceContext &Context, absl::BitGenRef Random,
    absl::Time Now) const {
  const std::vector<std::uint32_t> &Targets = m_Tiers[Tier];
  auto First = drawOpen(Targets, TargetHandle::Invalid, Context, Random, Now);
  if (!First)
    return std::nullopt;
  Draw Best{{*First}, pressure(m_Slots[*First], Now)};
  if (auto Second = drawOpen(Targets, *First, Context, Random, Now)) {
    double Pressure = pressure(m_Slots[*Second], Now);
    if (Pressure < Best.m_Pressure)
      Best = {{*Second}, Pressure};
  }
  Best.m_Pressure += m_Settings.m_TierPenalty * static_cast<double>(Tier);
  return Best;
}

std::optional<TargetHandle>
TargetChooser::Impl::choose(const ChoiceContext &Context,
                            absl::BitGenRef Random, absl::Time Now) const {
  std::optional<Draw> Best;
  for (std::size_t Tier = 0; Tier < TierCount; ++Tier) {
    auto Next = drawLessPressed(Tier, Context, Random, Now);
    if (!Next)
      continue;
    if (!Best || Next->m_Pressure < Best->m_Pressure)
      Best = Next;
    if (Best->m_Pressure < m_Settings.m_SpillPressure)
      break;
  }
  if (!Best)
    return std::nullopt;
  return Best->m_Target;
}

double TargetChooser::Impl::pressure(const Slot &One, absl::Time Now) const {
  // A target on trial is to be tried.
  double Failures = One.m_Health.isEjected() ? 0 : One.m_Health.failureShare();
  if (m_Settings.m_UseRelativeFailures)
    Failures = std::max(0.0, Failures - meanFailureShare());
  double Penalty = FailurePenalty * Failures;
  double Own = One.m_Outstanding;
  if (!m_Settings.m_UseFeedback)
    return Own;
  if (One.m_LoadedAt == absl::InfinitePast())
    return Own / UnknownLimit + Penalty;
  // An old load gives way to what this daemon knows itself.
  double Trust = halfLives(Now - One.m_LoadedAt);
  double FedBack = static_cast<double>(One.m_Load.m_InFlight) +
                   static_cast<double>(One.m_Load.m_Queued) +
                   static_cast<double>(One.m_SentSince);
  double Requests = Trust * std::max(FedBack, Own) + (1 - Trust) * Own;
  return Requests / std::max(1.0F, One.m_Load.m_Limit) + Penalty;
}

double TargetChooser::Impl::meanFailureShare() const {
  double Sum = 0;
  int Count = 0;
  for (const auto &Tier : m_Tiers)
    for (std::uint32_t Index : Tier) {
      Sum += m_Slots[Index].m_Health.failureShare();
      ++Count;
    }
  return Count > 0 ? Sum / Count : 0;
}

void TargetChooser::Impl::onSent(TargetHandle Target) {
  Slot &One = at(Target);
  ++One.m_Outstanding;
  ++One.m_SentSince;
}

void TargetChooser::Impl::noteAnswered(Slot &One) {
  --One.m_SentSince;
  if (One.m_Outstanding > 0)
    --One.m_Outstanding;
}

void TargetChooser::Impl::onAnswer(TargetHandle Target,
                                   const TargetFeedback &Feedback,
                                   bool IsSuccess, absl::Time Now) {
  noteAnswered(at(Target));
  onLoad(Target, Feedback, Now);
  if (IsSuccess)
    at(Target).m_Health.onSuccess();
  else
    noteFailure(Target, Now);
}

void TargetChooser::Impl::onCancelled(TargetHandle Target) {
  noteAnswered(at(Target));
}

void TargetChooser::Impl::onLost(TargetHandle Target, absl::Time Now) {
  noteAnswered(at(Target));
  noteFailure(Target, Now);
}

void TargetChooser::Impl::onLoad(TargetHandle Target,
                                 const TargetFeedback &Feedback,
                                 absl::Time Now) {
  Slot &One = at(Target);
  One.m_Load = Feedback;
  One.m_LoadedAt = Now;
  One.m_SentSince = 0;
}

void TargetChooser::Impl::noteFailure(TargetHandle Target, absl::Time Now) {
  TargetHealth &Health = at(Target).m_Health;
  Health.onFailure();
  if (!m_Settings.m_UseEjection)
    return;
  bool IsFailing = Health.isKnown() && Health.failureShare() > EjectionShare;
  if (Health.isEjected() || (IsFailing && isWorseThanOthers(Target)))
    Health.eject(Now);
}

bool TargetChooser::Impl::isWorseThanOthers(TargetHandle Target) const {
  double Share = m_Slots[Target.m_Index].m_Health.failureShare();
  double Sum = 0;
  int Others = 0;
  int Ejected = 0;
  for (const auto &Tier : m_Tiers)
    for (std::uint32_t Index : Tier) {
      if (Index == Target.m_Index)
        continue;
      const TargetHealth &Health = m_Slots[Index].m_Health;
      Ejected += Health.isEjected() ? 1 : 0;
      Sum += Health.failureShare();
      ++Others;
    }
  // At most half of all are left out, and the last one never is.
  if (Others == 0 || 2 * (Ejected + 1) > Others + 1)
    return false;
  return Sum / Others < Share / 2;
}

float TargetChooser::Impl::shedLevel(absl::Time Now) const {
  double Sum = 0;
  double Weights = 0;
  for (const auto &Tier : m_Tiers)
    for (std::uint32_t Index : Tier) {
      const Slot &One = m_Slots[Index];
      double Weight = halfLives(Now - One.m_LoadedAt) * One.m_Load.m_Limit;
      Sum += Weight * One.m_Load.m_ShedLevel;
      Weights += Weight;
    }
  return Weights > 0 ? static_cast<float>(Sum / Weights) : 0;
}

std::vector<TargetHandle> TargetChooser::Impl::subset() const {
  std::vector<TargetHandle> Handles;
  for (const auto &Tier : m_Tiers)
    for (std::uint32_t Index : Tier)
      Handles.push_back({Index});
  return Handles;
}

} // namespace knapweedloft::policy
