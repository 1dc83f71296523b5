#ifndef KNAPWEEDLOFT_POLICY_TARGETCHOOSERIMPL_H
#define KNAPWEEDLOFT_POLICY_TARGETCHOOSERIMPL_H

#include "TargetHealth.h"
#include "TargetSubset.h"
#include "policy/TargetChooser.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace knapweedloft::policy {

/// Holds the statistics of each target and draws among the subset.
class TargetChooser::Impl {
public:
  explicit Impl(Options Settings) : m_Settings(std::move(Settings)) {}

  void setTargets(const std::vector<TargetInfo> &Targets);
  [[nodiscard]] std::optional<TargetHandle> choose(const ChoiceContext &Context,
                                                   absl::BitGenRef Random,
                                                   absl::Time Now) const;
  void onSent(TargetHandle Target);
  void onAnswer(TargetHandle Target, const TargetFeedback &Feedback,
                bool IsSuccess, absl::Time Now);
  void onCancelled(TargetHandle Target);
  void onLost(TargetHandle Target, absl::Time Now);
  void onLoad(TargetHandle Target, const TargetFeedback &Feedback,
              absl::Time Now);
  [[nodiscard]] float shedLevel(absl::Time Now) const;
  [[nodiscard]] const TargetInfo &info(TargetHandle Target) const;
  [[nodiscard]] std::optional<TargetHandle>
  find(model::Incarnation Incarnation) const;
  [[nodiscard]] std::vector<TargetHandle> subset() const;

private:
  struct Slot {
    TargetInfo m_Info;
    TargetFeedback m_Load;
    absl::Time m_LoadedAt = absl::InfinitePast();
    std::uint32_t m_Outstanding = 0;
    std::int64_t m_SentSince = 0; ///< Sent less answered, since the load.
    bool m_IsListed = false;
    TargetHealth m_Health;
  };

  /// A drawn target and how pressed it is.
  struct Draw {
    TargetHandle m_Target;
    double m_Pressure = 0;
  };

  Slot &at(TargetHandle Target);
  [[nodiscard]] std::uint32_t freeSlot();
  [[nodiscard]] std::size_t tierOf(const TargetInfo &Info) const;
  void rebuildSubset();
  [[nodiscard]] bool isOpen(std::uint32_t Index, const ChoiceContext &Context,
                            absl::Time Now) const;
  [[nodiscard]] std::optional<std::uint32_t>
  drawOpen(const std::vector<std::uint32_t> &Tier, std::uint32_t Other,
           const ChoiceContext &Context, absl::BitGenRef Random,
           absl::Time Now) const;
  [[nodiscard]] std::optional<Draw>
  drawLessPressed(std::size_t Tier, const ChoiceContext &Context,
                  absl::BitGenRef Random, absl::Time Now) const;
  [[nodiscard]] double pressure(const Slot &One, absl::Time Now) const;
  [[nodiscard]] double meanFailureShare() const;
  void noteAnswered(Slot &One);
  void noteFailure(TargetHandle Target, absl::Time Now);
  [[nodiscard]] bool isWorseThanOthers(TargetHandle Target) const;

  Options m_Settings;
  std::vector<Slot> m_Slots;
  TargetTiers m_Tiers;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_TARGETCHOOSERIMPL_H
