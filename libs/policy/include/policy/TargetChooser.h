#ifndef KNAPWEEDLOFT_POLICY_TARGETCHOOSER_H
#define KNAPWEEDLOFT_POLICY_TARGETCHOOSER_H

#include "policy/ChoiceContext.h"
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

/// Chooses the target of each request to one service at the entry side.
///
/// Near targets first, with spill-over to further ones when the near are
/// pressed; among those the less loaded of two drawn at random. Targets that
/// fail are left out for a while. Not thread-safe.
///
/// \code
///   Chooser.setTargets(Targets, Now);
///   if (auto Target = Chooser.choose({Excluded, Priority}, Random, Now))
///     Chooser.onSent(*Target, Now); // then onAnswer or onLost, once
/// \endcode
class TargetChooser {
public:
  struct Options {
    std::string m_Region;          ///< Of this daemon.
    std::string m_DataCenter;      ///< Of this daemon.
    std::uint64_t m_Seed = 0;      ///< Spreads subsets; the own incarnation.
    std::size_t m_SubsetSize = 20; ///< Targets in use at most.
    bool m_UseLocality = true;
    bool m_UseFeedback = true; ///< Else only requests of its own count.
    bool m_UseEjection = true;
    /// Pressure of the near tier from which further ones are looked at.
    double m_SpillPressure = 0.9;
    /// Pressure by which a further target must be less pressed, a tier.
    double m_TierPenalty = 0.1;
    /// Failures count as far as they exceed those of the others: where all
    /// fail, what lies behind them does, and no choice helps.
    bool m_UseRelativeFailures = false;
  };

  explicit TargetChooser(Options Settings);
  ~TargetChooser();
  TargetChooser(TargetChooser &&) noexcept;
  TargetChooser &operator=(TargetChooser &&) noexcept;

  /// Sets the targets of the service; those with a known incarnation keep
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
  /// A request was sent and no answer will come.
  void onLost(TargetHandle Target, absl::Time Now);
  /// A request was given up before its answer, for no fault of the target.
  void onCancelled(TargetHandle Target);
  /// A load that came without an answer, such as with a heartbeat.
  void onLoad(TargetHandle Target, const TargetFeedback &Feedback,
              absl::Time Now);

  /// \returns the mean shed level of the targets in use.
  [[nodiscard]] float shedLevel(absl::Time Now) const;
  /// \throws PolicyError if the handle is not valid.
  [[nodiscard]] const TargetInfo &info(TargetHandle Target) const;
  /// \returns the handle of a target in use by its incarnation.
  [[nodiscard]] std::optional<TargetHandle>
  find(model::Incarnation Incarnation) const;
  /// \returns the targets in use, to which links are to be held.
  [[nodiscard]] std::vector<TargetHandle> subset() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_TARGETCHOOSER_H
