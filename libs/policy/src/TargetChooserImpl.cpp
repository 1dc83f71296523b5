#include "TargetChooserImpl.h"

#include "policy/PolicyError.h"

#include "absl/random/distributions.h"

#include <algorithm>
#include <cmath>

namespace knapweedloft::policy {
namespace {

/// Age at which a reported load has half its weight.
constexpr absl::Duration LoadHalfLife = absl::Milliseconds(500);
/// Assumed limit of a target that has not reported its load yet.
constexpr double DefaultLimit = 4;
/// Added to the load score of a target all of whose answers are failures.
constexpr double FailurePenalty = 2;
/// The measured mean latency of one target varies by a tenth by chance. Targets
/// whose completion differs by less than twice that are chosen by load.
constexpr double ClearlySooner = 0.8;
/// Targets drawn. By completion one more: of three of which two are slow, two
/// draws miss the fast one in nearly half of the cases. All of them would send
/// every entry side to the same target.
constexpr int DrawsByLoad = 2;
constexpr int DrawsByCompletion = 3;
/// Share of the requests for which the first target drawn is taken if it has a
/// free slot, so that the latency of a slow one stays known.
constexpr double TrialShare = 0.05;
/// Share of failures above which a target is ejected, if the others fail less
/// than half as often.
constexpr double EjectionShare = 0.5;

double decay(absl::Duration Age) {
  return std::exp2(
      -absl::FDivDuration(std::max(Age, absl::ZeroDuration()), LoadHalfLife));
}

} // namespace

TargetChooser::Impl::TargetStats &TargetChooser::Impl::at(TargetHandle Target) {
  if (Target.m_Index >= m_Stats.size())
    throw PolicyError("unknown target handle");
  return m_Stats[Target.m_Index];
}

const TargetInfo &TargetChooser::Impl::info(TargetHandle Target) const {
  if (Target.m_Index >= m_Stats.size())
    throw PolicyError("unknown target handle");
  return m_Stats[Target.m_Index].m_Info;
}

std::optional<TargetHandle>
TargetChooser::Impl::find(model::Incarnation Incarnation) const {
  for (std::uint32_t Index = 0; Index < m_Stats.size(); ++Index)
    if (m_Stats[Index].m_IsListed &&
        m_Stats[Index].m_Info.m_Incarnation == Incarnation)
      return TargetHandle{Index};
  return std::nullopt;
}

std::uint32_t TargetChooser::Impl::allocateStats() {
  for (std::uint32_t Index = 0; Index < m_Stats.size(); ++Index) {
    TargetStats &Stats = m_Stats[Index];
    if (Stats.m_IsListed || Stats.m_Outstanding > 0)
      continue;
    Stats = {};
    return Index;
  }
  m_Stats.emplace_back();
  return static_cast<std::uint32_t>(m_Stats.size() - 1);
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
    m_Stats[Known->m_Index].m_Info = Info;
    Kept.push_back(Known->m_Index);
  }
  for (TargetStats &Stats : m_Stats)
    Stats.m_IsListed = false;
  for (std::uint32_t Index : Kept)
    m_Stats[Index].m_IsListed = true;
  for (const TargetInfo *Info : New) {
    TargetStats &Stats = m_Stats[allocateStats()];
    Stats.m_Info = *Info;
    Stats.m_IsListed = true;
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
  for (std::uint32_t Index = 0; Index < m_Stats.size(); ++Index) {
    const TargetStats &Stats = m_Stats[Index];
    if (!Stats.m_IsListed || Stats.m_Info.m_IsWithdrawn)
      continue;
    Candidates.push_back(
        {Index, tierOf(Stats.m_Info),
         rendezvousHash(m_Settings.m_Seed, Stats.m_Info.m_Incarnation)});
  }
  m_Tiers = chooseSubset(std::move(Candidates), m_Settings.m_SubsetSize);
  m_SpillUpdatedAt = absl::InfinitePast();
}

bool TargetChooser::Impl::isUsableFor(std::uint32_t Index,
                                      const ChoiceContext &Context,
                                      absl::Time Now) const {
  auto Excluded = Context.m_Excluded;
  if (std::find(Excluded.begin(), Excluded.end(), TargetHandle{Index}) !=
      Excluded.end())
    return false;
  const TargetStats &Stats = m_Stats[Index];
  return Stats.m_Health.isUsable(Stats.m_Outstanding, Now);
}

std::optional<std::uint32_t>
TargetChooser::Impl::drawUsable(const std::vector<std::uint32_t> &Tier,
                                std::uint32_t Other,
                                const ChoiceContext &Context,
                                absl::BitGenRef Random, absl::Time Now) const {
  if (Tier.empty())
    return std::nullopt;
  std::size_t First = absl::Uniform<std::size_t>(Random, 0, Tier.size());
  for (std::size_t Step = 0; Step < Tier.size(); ++Step) {
    std::uint32_t Index = Tier[(First + Step) % Tier.size()];
    if (Index != Other && isUsableFor(Index, Context, Now))
      return Index;
  }
  return std::nullopt;
}

bool TargetChooser::Impl::Draw::isBetterThan(const Draw &Other) const {
  if (!m_Expected || !Other.m_Expected)
    return m_LoadScore < Other.m_LoadScore;
  if (m_Expected->total() < Other.m_Expected->total() * ClearlySooner)
    return true;
  return m_Expected->total() * ClearlySooner < Other.m_Expected->total() &&
         m_LoadScore < Other.m_LoadScore;
}

TargetChooser::Impl::Draw TargetChooser::Impl::drawOf(std::uint32_t Index,
                                                      absl::Time Now) const {
  const TargetStats &Stats = m_Stats[Index];
  return {{Index}, loadScore(Stats, Now), expectedOf(Stats, Now)};
}

void TargetChooser::Impl::seekFreeSlot(Draw &Best,
                                       const std::vector<std::uint32_t> &Tier,
                                       const ChoiceContext &Context,
                                       absl::BitGenRef Random,
                                       absl::Time Now) const {
  // From a random one on, so that entry sides with the same view part.
  std::size_t First = absl::Uniform<std::size_t>(Random, 0, Tier.size());
  for (std::size_t Step = 0; Step < Tier.size() && Best.isFull(); ++Step) {
    std::uint32_t Index = Tier[(First + Step) % Tier.size()];
    if (!isUsableFor(Index, Context, Now))
      continue;
    Draw Other = drawOf(Index, Now);
    if (!Other.isFull() || Other.isBetterThan(Best))
      Best = Other;
  }
}

std::optional<TargetChooser::Impl::Draw> TargetChooser::Impl::drawLessLoaded(
    std::size_t Tier, const ChoiceContext &Context, absl::BitGenRef Random,
    absl::Time Now) const {
  auto Best = drawAmong(m_Tiers[Tier], Context, Random, Now);
  if (Best)
    Best->m_LoadScore += m_Settings.m_TierPenalty * static_cast<double>(Tier);
  return Best;
}

std::optional<TargetChooser::Impl::Draw>
TargetChooser::Impl::drawAmong(const std::vector<std::uint32_t> &Targets,
                               const ChoiceContext &Context,
                               absl::BitGenRef Random, absl::Time Now) const {
  auto First = drawUsable(Targets, TargetHandle::Invalid, Context, Random, Now);
  if (!First)
    return std::nullopt;
  Draw Best = drawOf(*First, Now);
  bool IsTrial =
      Best.m_Expected && !Best.isFull() && absl::Bernoulli(Random, TrialShare);
  if (IsTrial)
    return Best;
  int Draws = Best.m_Expected ? DrawsByCompletion : DrawsByLoad;
  for (int Count = 1; Count < Draws; ++Count) {
    auto Next = drawUsable(Targets, *First, Context, Random, Now);
    if (!Next)
      break;
    Draw Other = drawOf(*Next, Now);
    if (Other.isBetterThan(Best))
      Best = Other;
  }
  if (Best.isFull())
    seekFreeSlot(Best, Targets, Context, Random, Now);
  return Best;
}

std::optional<TargetHandle>
TargetChooser::Impl::choose(const ChoiceContext &Context,
                            absl::BitGenRef Random, absl::Time Now) {
  if (m_Spill)
    if (auto Chosen = chooseBySpill(Context, Random, Now))
      return Chosen;
  std::optional<Draw> Best;
  for (std::size_t Tier = 0; Tier < TierCount; ++Tier) {
    auto Next = drawLessLoaded(Tier, Context, Random, Now);
    if (!Next)
      continue;
    if (!Best || Next->m_LoadScore < Best->m_LoadScore)
      Best = Next;
    if (Best->m_LoadScore < m_Settings.m_SpilloverLoadScore)
      break;
  }
  if (!Best)
    return std::nullopt;
  return Best->m_Target;
}

double TargetChooser::Impl::failurePenalty(const TargetStats &Stats) const {
  // An ejected target on trial gets no penalty, so that it is tried.
  double Failures =
      Stats.m_Health.isEjected() ? 0 : Stats.m_Health.failureShare();
  if (m_Settings.m_UseRelativeFailures)
    Failures = std::max(0.0, Failures - meanFailureShare());
  return FailurePenalty * Failures;
}

double TargetChooser::Impl::requestsAt(const TargetStats &Stats,
                                       absl::Time Now) {
  double Own = Stats.m_Outstanding;
  // As the reported load ages, the own count of requests takes over.
  double LoadWeight = decay(Now - Stats.m_LoadedAt);
  double Reported = static_cast<double>(Stats.m_Load.m_InFlight) +
                    static_cast<double>(Stats.m_Load.m_Queued) +
                    static_cast<double>(Stats.m_SentSinceLoad);
  return LoadWeight * std::max(Reported, Own) + (1 - LoadWeight) * Own;
}

double TargetChooser::Impl::loadScore(const TargetStats &Stats,
                                      absl::Time Now) const {
  double Own = Stats.m_Outstanding;
  if (!m_Settings.m_UseFeedback)
    return Own;
  double Penalty = failurePenalty(Stats);
  if (Stats.m_LoadedAt == absl::InfinitePast())
    return Own / DefaultLimit + Penalty;
  return requestsAt(Stats, Now) / std::max(1.0F, Stats.m_Load.m_Limit) +
         Penalty;
}

std::optional<ExpectedCompletion>
TargetChooser::Impl::expectedOf(const TargetStats &Stats,
                                absl::Time Now) const {
  if (!m_Settings.m_UseFeedback || !ExpectedCompletion::isKnown(Stats.m_Load))
    return std::nullopt;
  absl::Duration Age = std::max(Now - Stats.m_LoadedAt, absl::ZeroDuration());
  // The pace matters while the request runs, so on the mean half a run later.
  double PaceWeight =
      Stats.m_PaceChange.weight(Age + Stats.m_Load.m_Latency / 2);
  // Counted as requests, as in the load score.
  double Penalty = failurePenalty(Stats) * Stats.m_Load.m_Limit;
  return ExpectedCompletion(Stats.m_Load, requestsAt(Stats, Now) + Penalty,
                            PaceWeight, Age);
}

double TargetChooser::Impl::meanFailureShare() const {
  double Sum = 0;
  int Count = 0;
  for (const auto &Tier : m_Tiers)
    for (std::uint32_t Index : Tier) {
      Sum += m_Stats[Index].m_Health.failureShare();
      ++Count;
    }
  return Count > 0 ? Sum / Count : 0;
}

void TargetChooser::Impl::onSent(TargetHandle Target) {
  TargetStats &Stats = at(Target);
  ++Stats.m_Outstanding;
  ++Stats.m_SentSinceLoad;
}

void TargetChooser::Impl::recordAnswer(TargetStats &Stats) {
  --Stats.m_SentSinceLoad;
  if (Stats.m_Outstanding > 0)
    --Stats.m_Outstanding;
}

void TargetChooser::Impl::onAnswer(TargetHandle Target,
                                   const TargetFeedback &Feedback,
                                   bool IsSuccess, absl::Time Now) {
  recordAnswer(at(Target));
  onLoad(Target, Feedback, Now);
  if (IsSuccess)
    at(Target).m_Health.onSuccess();
  else
    recordFailure(Target, Now);
}

void TargetChooser::Impl::onCancelled(TargetHandle Target) {
  recordAnswer(at(Target));
}

void TargetChooser::Impl::onLost(TargetHandle Target, absl::Time Now) {
  recordAnswer(at(Target));
  recordFailure(Target, Now);
}

void TargetChooser::Impl::onLoad(TargetHandle Target,
                                 const TargetFeedback &Feedback,
                                 absl::Time Now) {
  TargetStats &Stats = at(Target);
  Stats.m_Load = Feedback;
  Stats.m_LoadedAt = Now;
  Stats.m_SentSinceLoad = 0;
  if (Feedback.m_Pace > 0)
    Stats.m_PaceChange.onValue(std::log(Feedback.m_Pace), Now);
}

void TargetChooser::Impl::recordFailure(TargetHandle Target, absl::Time Now) {
  TargetHealth &Health = at(Target).m_Health;
  Health.onFailure();
  if (!m_Settings.m_UseEjection)
    return;
  bool IsFailing =
      Health.hasEnoughAnswers() && Health.failureShare() > EjectionShare;
  if (Health.isEjected() || (IsFailing && isOutlier(Target)))
    Health.eject(Now);
}

bool TargetChooser::Impl::isOutlier(TargetHandle Target) const {
  double Share = m_Stats[Target.m_Index].m_Health.failureShare();
  double Sum = 0;
  int Others = 0;
  int Ejected = 0;
  for (const auto &Tier : m_Tiers)
    for (std::uint32_t Index : Tier) {
      if (Index == Target.m_Index)
        continue;
      const TargetHealth &Health = m_Stats[Index].m_Health;
      Ejected += Health.isEjected() ? 1 : 0;
      Sum += Health.failureShare();
      ++Others;
    }
  // At most half of the targets are ejected, and never the last one.
  if (Others == 0 || 2 * (Ejected + 1) > Others + 1)
    return false;
  return Sum / Others < Share / 2;
}

float TargetChooser::Impl::shedLevel(absl::Time Now) const {
  double Sum = 0;
  double Weights = 0;
  for (const auto &Tier : m_Tiers)
    for (std::uint32_t Index : Tier) {
      const TargetStats &Stats = m_Stats[Index];
      double Weight = decay(Now - Stats.m_LoadedAt) * Stats.m_Load.m_Limit;
      Sum += Weight * Stats.m_Load.m_ShedLevel;
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
