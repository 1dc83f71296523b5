#ifndef KNAPWEEDLOFT_POLICY_TARGETCHOOSER_H
#define KNAPWEEDLOFT_POLICY_TARGETCHOOSER_H

#include "policy/ChoiceContext.h"
#include "policy/DataCenterRoom.h"
#include "policy/DataCenterSpill.h"
#include "policy/TargetFeedback.h"
#include "policy/TargetHandle.h"
#include "policy/TargetInfo.h"

#include "absl/random/bit_gen_ref.h"
#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace knapweedloft::policy {

/// Load balancer at the entry side: chooses the target of each request to one
/// service.
///
/// Prefers near targets and spills over to remote ones when the near ones are
/// highly loaded; among those of one tier it takes the less loaded of two drawn
/// at random. Failing targets are ejected for a time. Not thread-safe.
///
/// \code
///   Chooser.setTargets(Targets, Now);
///   if (auto Target = Chooser.choose({Excluded, Priority}, Random, Now))
///     Chooser.onSent(*Target, Now); // then onAnswer or onLost, once
/// \endcode
class TargetChooser {
public:
  struct Options {
    std::string m_Region;     ///< Of this daemon.
    std::string m_DataCenter; ///< Of this daemon.
    /// Own incarnation; spreads the subsets between daemons.
    std::uint64_t m_Seed = 0;
    std::size_t m_SubsetSize = 20; ///< Maximum targets in use.
    bool m_UseLocality = true;
    bool m_UseFeedback = true; ///< Else only own requests count.
    bool m_UseEjection = true;
    /// Load score of a tier from which the next, more remote one is considered.
    /// The load score of a target is its requests divided by its limit, plus a
    /// penalty for failures.
    double m_SpilloverLoadScore = 0.9;
    /// Added to the load score of a remote target, per tier.
    double m_TierPenalty = 0.1;
    /// Counts only failures above the mean of all targets: where all targets
    /// fail, the cause lies downstream and no choice helps.
    bool m_UseRelativeFailures = false;
    /// Decides whether requests leave the own data center, in place of the
    /// spillover load score and the tier penalty; nothing: these do.
    std::optional<DataCenterSpill::Options> m_Spill;
  };

  /// What is known of leaving the own data center, for metrics and logs.
  struct Leaving {
    double m_Share = 0;    ///< Of the requests.
    absl::Duration m_Gain; ///< Of a request that leaves; negative: loss.
    DataCenterRoom m_Home;
    std::vector<DataCenterRoom> m_Others;
  };

  explicit TargetChooser(Options Settings);
  ~TargetChooser();
  TargetChooser(TargetChooser &&) noexcept;
  TargetChooser &operator=(TargetChooser &&) noexcept;

  /// Replaces the targets of the service; those with a known incarnation keep
  /// their statistics.
  void setTargets(const std::vector<TargetInfo> &Targets, absl::Time Now);

  /// \returns the target for a request, or nothing if none is left.
  [[nodiscard]] std::optional<TargetHandle>
  choose(const ChoiceContext &Context, absl::BitGenRef Random, absl::Time Now);

  void onSent(TargetHandle Target, absl::Time Now);
  /// \p IsSuccess is false where the target failed; a refusal by its target
  /// side is not a failure of the target.
  void onAnswer(TargetHandle Target, const TargetFeedback &Feedback,
                bool IsSuccess, absl::Duration Latency, absl::Time Now);
  /// Reports that a request was sent and will not be answered.
  void onLost(TargetHandle Target, absl::Time Now);
  /// Reports that a request was cancelled before its answer, for no fault of
  /// the target.
  void onCancelled(TargetHandle Target);
  /// Reports a load received without an answer, such as with a heartbeat.
  void onLoad(TargetHandle Target, const TargetFeedback &Feedback,
              absl::Time Now);

  /// Reports what an answered request cost besides its wait and run at the
  /// target side. \p Bytes are of the request and its answer.
  void onTransfer(TargetHandle Target, absl::Duration Way, std::size_t Bytes,
                  absl::Time Now);

  /// \returns nothing unless Options::m_Spill is set.
  [[nodiscard]] std::optional<Leaving> leaving() const;
  /// \returns the mean shed level of the targets in use.
  [[nodiscard]] float shedLevel(absl::Time Now) const;
  /// \throws PolicyError if the handle is not valid.
  [[nodiscard]] const TargetInfo &info(TargetHandle Target) const;
  /// \returns the handle of the listed target with this incarnation.
  [[nodiscard]] std::optional<TargetHandle>
  find(model::Incarnation Incarnation) const;
  /// \returns the targets in use, to which links are to be kept open.
  [[nodiscard]] std::vector<TargetHandle> subset() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_TARGETCHOOSER_H
