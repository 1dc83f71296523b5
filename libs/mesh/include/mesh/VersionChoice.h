#ifndef KNAPWEEDLOFT_MESH_VERSIONCHOICE_H
#define KNAPWEEDLOFT_MESH_VERSIONCHOICE_H

#include "mesh/PeerTarget.h"
#include "policy/TargetChooser.h"

#include "absl/random/bit_gen_ref.h"
#include "absl/time/time.h"

#include <optional>
#include <vector>

namespace knapweedloft::mesh {

/// Chooses the target of a request to a service that may have two versions.
///
/// While a roll-out tries a version, its targets form a group of their own that
/// gets the share of the requests that they tell; the others share the rest.
/// Each group has its own load balancer. A request whose group has no usable
/// target, and one that a target of its group has refused or failed, goes to
/// the other group if that has one. Not thread-safe.
///
/// \code
///   Choice.setTargets(Targets, Now);
///   if (auto Target = Choice.choose(Excluded, Random, Now))
///     Choice.onSent(*Target, Now); // then onAnswer or onLost, once
/// \endcode
class VersionChoice {
public:
  explicit VersionChoice(const policy::TargetChooser::Options &Settings)
      : m_Usual(Settings), m_OnTrial(Settings) {}

  void setTargets(const std::vector<PeerTarget> &Targets, absl::Time Now);
  /// \returns the target for a request, or nothing if none is left. The targets
  /// that \p Of excludes are not looked at.
  [[nodiscard]] std::optional<policy::TargetHandle>
  choose(const std::vector<policy::TargetHandle> &Excluded,
         absl::BitGenRef Random, absl::Time Now,
         const policy::ChoiceContext &Of = {});

  // As in policy::TargetChooser.
  void onSent(policy::TargetHandle Target, absl::Time Now);
  void onAnswer(policy::TargetHandle Target,
                const policy::TargetFeedback &Feedback, bool IsSuccess,
                absl::Duration Latency, absl::Time Now);
  void onLost(policy::TargetHandle Target, absl::Time Now);
  void onCancelled(policy::TargetHandle Target);
  void onLoad(policy::TargetHandle Target,
              const policy::TargetFeedback &Feedback, absl::Time Now);
  void onTransfer(policy::TargetHandle Target, absl::Duration Way,
                  std::size_t Bytes, absl::Time Now);
  /// \returns what leaves the data center of the requests that the version on
  /// trial does not get.
  [[nodiscard]] std::optional<policy::TargetChooser::Leaving> leaving() const {
    return m_Usual.leaving();
  }
  [[nodiscard]] const policy::TargetInfo &
  info(policy::TargetHandle Target) const;
  [[nodiscard]] std::optional<policy::TargetHandle>
  find(model::Incarnation Incarnation) const;

  /// \returns the share of the requests for the version on trial.
  [[nodiscard]] double trialShare() const { return m_TrialShare; }

private:
  /// Handles of targets on trial are told by this bit of the index.
  static constexpr std::uint32_t TrialBit = 1U << 30;

  [[nodiscard]] static bool isOnTrial(policy::TargetHandle Target) {
    return (Target.m_Index & TrialBit) != 0;
  }
  [[nodiscard]] static policy::TargetHandle
  withoutGroup(policy::TargetHandle Target) {
    return {Target.m_Index & ~TrialBit};
  }
  [[nodiscard]] policy::TargetChooser &groupOf(policy::TargetHandle Target) {
    return isOnTrial(Target) ? m_OnTrial : m_Usual;
  }
  [[nodiscard]] const policy::TargetChooser &
  groupOf(policy::TargetHandle Target) const {
    return isOnTrial(Target) ? m_OnTrial : m_Usual;
  }
  [[nodiscard]] std::optional<policy::TargetHandle>
  chooseFrom(bool IsOnTrial, const std::vector<policy::TargetHandle> &Excluded,
             absl::BitGenRef Random, absl::Time Now, policy::ChoiceContext Of);

  policy::TargetChooser m_Usual;
  policy::TargetChooser m_OnTrial;
  double m_TrialShare = 0;
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_VERSIONCHOICE_H
