#include "mesh/VersionChoice.h"

#include "absl/random/distributions.h"

#include <algorithm>

namespace knapweedloft::mesh {

using policy::TargetHandle;

void VersionChoice::setTargets(const std::vector<PeerTarget> &Targets,
                               absl::Time Now) {
  std::vector<policy::TargetInfo> Usual;
  std::vector<policy::TargetInfo> OnTrial;
  double Shares = 0;
  double Open = 0;
  for (const PeerTarget &Target : Targets) {
    bool IsOnTrial = Target.m_Exposure < 1;
    bool IsOpen = Target.m_IsOpen && Target.m_Exposure > 0;
    (IsOnTrial ? OnTrial : Usual)
        .push_back({.m_Incarnation = Target.m_Member.m_Incarnation,
                    .m_Name = Target.m_Member.m_Name,
                    .m_Region = Target.m_Member.m_Region,
                    .m_DataCenter = Target.m_Member.m_DataCenter,
                    .m_IsWithdrawn = !IsOpen});
    if (IsOnTrial && IsOpen) {
      Shares += Target.m_Exposure;
      ++Open;
    }
  }
  // Targets hear of a new share one after the other.
  m_TrialShare = Open > 0 ? Shares / Open : 0;
  m_Usual.setTargets(Usual, Now);
  m_OnTrial.setTargets(OnTrial, Now);
}

std::optional<TargetHandle> VersionChoice::chooseFrom(
    bool IsOnTrial, const std::vector<TargetHandle> &Excluded,
    absl::BitGenRef Random, absl::Time Now, policy::ChoiceContext Of) {
  std::vector<TargetHandle> OfGroup;
  for (TargetHandle Target : Excluded)
    if (isOnTrial(Target) == IsOnTrial)
      OfGroup.push_back(withoutGroup(Target));
  policy::TargetChooser &Group = IsOnTrial ? m_OnTrial : m_Usual;
  Of.m_Excluded = OfGroup;
  auto Chosen = Group.choose(Of, Random, Now);
  if (Chosen && IsOnTrial)
    Chosen->m_Index |= TrialBit;
  return Chosen;
}

std::optional<TargetHandle>
VersionChoice::choose(const std::vector<TargetHandle> &Excluded,
                      absl::BitGenRef Random, absl::Time Now,
                      const policy::ChoiceContext &Of) {
  bool IsOnTrial = m_TrialShare > 0 && Excluded.empty() &&
                   absl::Uniform(Random, 0.0, 1.0) < m_TrialShare;
  auto Chosen = chooseFrom(IsOnTrial, Excluded, Random, Now, Of);
  return Chosen || m_TrialShare == 0
             ? Chosen
             : chooseFrom(!IsOnTrial, Excluded, Random, Now, Of);
}

void VersionChoice::onSent(TargetHandle Target, absl::Time Now) {
  groupOf(Target).onSent(withoutGroup(Target), Now);
}

void VersionChoice::onAnswer(TargetHandle Target,
                             const policy::TargetFeedback &Feedback,
                             bool IsSuccess, absl::Duration Latency,
                             absl::Time Now) {
  groupOf(Target).onAnswer(withoutGroup(Target), Feedback, IsSuccess, Latency,
                           Now);
}

void VersionChoice::onLost(TargetHandle Target, absl::Time Now) {
  groupOf(Target).onLost(withoutGroup(Target), Now);
}

void VersionChoice::onCancelled(TargetHandle Target) {
  groupOf(Target).onCancelled(withoutGroup(Target));
}

void VersionChoice::onLoad(TargetHandle Target,
                           const policy::TargetFeedback &Feedback,
                           absl::Time Now) {
  groupOf(Target).onLoad(withoutGroup(Target), Feedback, Now);
}

void VersionChoice::onTransfer(TargetHandle Target, absl::Duration Way,
                               std::size_t Bytes, absl::Time Now) {
  groupOf(Target).onTransfer(withoutGroup(Target), Way, Bytes, Now);
}

const policy::TargetInfo &VersionChoice::info(TargetHandle Target) const {
  return groupOf(Target).info(withoutGroup(Target));
}

std::optional<TargetHandle>
VersionChoice::find(model::Incarnation Incarnation) const {
  if (auto Usual = m_Usual.find(Incarnation))
    return Usual;
  auto OnTrial = m_OnTrial.find(Incarnation);
  if (OnTrial)
    OnTrial->m_Index |= TrialBit;
  return OnTrial;
}

} // namespace knapweedloft::mesh
