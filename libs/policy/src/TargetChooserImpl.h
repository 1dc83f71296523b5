#ifndef KNAPWEEDLOFT_POLICY_TARGETCHOOSERIMPL_H
#define KNAPWEEDLOFT_POLICY_TARGETCHOOSERIMPL_H

#include "ExpectedCompletion.h"
#include "TargetHealth.h"
#include "TargetSubset.h"
#include "TransferCosts.h"
#include "policy/PaceChange.h"
#include "policy/TargetChooser.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace knapweedloft::policy {

/// Holds the statistics of each target and draws from the subset in use.
class TargetChooser::Impl {
public:
  explicit Impl(Options Settings) : m_Settings(std::move(Settings)) {
    if (m_Settings.m_Spill)
      m_Spill.emplace(*m_Settings.m_Spill);
  }

  void setTargets(const std::vector<TargetInfo> &Targets);
  [[nodiscard]] std::optional<TargetHandle>
  choose(const ChoiceContext &Context, absl::BitGenRef Random, absl::Time Now);
  void onSent(TargetHandle Target);
  void onAnswer(TargetHandle Target, const TargetFeedback &Feedback,
                bool IsSuccess, absl::Time Now);
  void onCancelled(TargetHandle Target);
  void onLost(TargetHandle Target, absl::Time Now);
  void onLoad(TargetHandle Target, const TargetFeedback &Feedback,
              absl::Time Now);
  void onTransfer(TargetHandle Target, absl::Duration Way, std::size_t Bytes,
                  absl::Time Now);
  [[nodiscard]] std::optional<Leaving> leaving() const;
  [[nodiscard]] float shedLevel(absl::Time Now) const;
  [[nodiscard]] const TargetInfo &info(TargetHandle Target) const;
  [[nodiscard]] std::optional<TargetHandle>
  find(model::Incarnation Incarnation) const;
  [[nodiscard]] std::vector<TargetHandle> subset() const;

private:
  struct TargetStats {
    TargetInfo m_Info;
    TargetFeedback m_Load;
    absl::Time m_LoadedAt = absl::InfinitePast();
    std::uint32_t m_Outstanding = 0;
    std::int64_t m_SentSinceLoad = 0; ///< Less the answered ones.
    bool m_IsListed = false;
    PaceChange m_PaceChange; ///< Of the reported paces.
    TargetHealth m_Health;
  };

  /// A target drawn at random, with its load score and, if it names a pace,
  /// what is expected of it.
  struct Draw {
    TargetHandle m_Target;
    double m_LoadScore = 0;
    std::optional<ExpectedCompletion> m_Expected;

    [[nodiscard]] bool isBetterThan(const Draw &Other) const;
    [[nodiscard]] bool isFull() const {
      return m_Expected && !m_Expected->hasFreeSlot();
    }
  };

  TargetStats &at(TargetHandle Target);
  [[nodiscard]] std::uint32_t allocateStats();
  [[nodiscard]] std::size_t tierOf(const TargetInfo &Info) const;
  void rebuildSubset();
  [[nodiscard]] bool isUsableFor(std::uint32_t Index,
                                 const ChoiceContext &Context,
                                 absl::Time Now) const;
  [[nodiscard]] std::optional<std::uint32_t>
  drawUsable(const std::vector<std::uint32_t> &Tier, std::uint32_t Other,
             const ChoiceContext &Context, absl::BitGenRef Random,
             absl::Time Now) const;
  [[nodiscard]] std::optional<Draw> drawLessLoaded(std::size_t Tier,
                                                   const ChoiceContext &Context,
                                                   absl::BitGenRef Random,
                                                   absl::Time Now) const;
  [[nodiscard]] Draw drawOf(std::uint32_t Index, absl::Time Now) const;
  /// Looks at all targets of a tier for one with a free slot.
  void seekFreeSlot(Draw &Best, const std::vector<std::uint32_t> &Tier,
                    const ChoiceContext &Context, absl::BitGenRef Random,
                    absl::Time Now) const;
  /// \returns the requests that the target is taken to have now.
  [[nodiscard]] static double requestsAt(const TargetStats &Stats,
                                         absl::Time Now);
  [[nodiscard]] double failurePenalty(const TargetStats &Stats) const;
  [[nodiscard]] std::optional<Draw>
  drawAmong(const std::vector<std::uint32_t> &Targets,
            const ChoiceContext &Context, absl::BitGenRef Random,
            absl::Time Now) const;
  [[nodiscard]] double loadScore(const TargetStats &Stats,
                                 absl::Time Now) const;
  [[nodiscard]] std::optional<ExpectedCompletion>
  expectedOf(const TargetStats &Stats, absl::Time Now) const;
  [[nodiscard]] double meanFailureShare() const;
  void recordAnswer(TargetStats &Stats);
  void recordFailure(TargetHandle Target, absl::Time Now);
  [[nodiscard]] bool isOutlier(TargetHandle Target) const;

  // TargetChooserLeaving.cpp
  /// \returns the target of a request that leaves the own data center or
  /// stays there by decision; nothing where only the nearness decides.
  [[nodiscard]] std::optional<TargetHandle>
  chooseBySpill(const ChoiceContext &Context, absl::BitGenRef Random,
                absl::Time Now);
  void updateSpill(absl::Time Now);
  [[nodiscard]] DataCenterRoom roomOf(const std::string &Name,
                                      const std::vector<std::uint32_t> &Targets,
                                      absl::Time Now) const;

  Options m_Settings;
  std::vector<TargetStats> m_Stats;
  TargetTiers m_Tiers;
  std::optional<DataCenterSpill> m_Spill;
  TransferCosts m_Transfers;
  absl::Time m_SpillUpdatedAt = absl::InfinitePast();
  DataCenterRoom m_Home;
  std::vector<DataCenterRoom> m_Others;
  /// Of each of m_Others.
  std::vector<std::vector<std::uint32_t>> m_OtherTargets;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_TARGETCHOOSERIMPL_H
