#ifndef KNAPWEEDLOFT_POLICY_DEMANDGAUGE_H
#define KNAPWEEDLOFT_POLICY_DEMANDGAUGE_H

#include "absl/time/time.h"

#include <cstddef>

namespace knapweedloft::policy {

/// Tells what part of new work the entrances are to let in, so that the work
/// that reaches one target stays just below what it can do.
///
/// Work offered is what runs, by the slots that it takes, and what is turned
/// away, by the time that it would have taken. Answers chains whose narrowest
/// service lies several calls below the entrance: what is let in there comes
/// here later, and turning it away here would waste all that was done above.
/// A target that waits for those it calls is not short of slots and lets in
/// all, however long its runs take. The part is
/// corrected by the ratio itself, no faster than work takes to come down the
/// chain. After the propagation of demand through the stages of a pipeline in
/// the related paper; here each stage tells the entrances. Not thread-safe.
class DemandGauge {
public:
  struct Options {
    double m_Aim = 0.92; ///< Of the slots that work is to fill.
    absl::Duration m_Interval = absl::Milliseconds(250);
    double m_MostCut = 0.75;  ///< Factor of one interval at most.
    double m_MostRise = 1.12; ///< Factor of one interval at most.
    double m_Least = 0.1;     ///< So that an end of the load is noticed.
  };

  explicit DemandGauge(const Options &Settings) : m_Settings(Settings) {}

  /// \p Running requests take a slot each from now on.
  void onRunning(std::size_t Running, absl::Time Now);
  /// Work was turned away that would have taken a slot for \p Time.
  void onTurnedAway(absl::Duration Time) {
    m_TurnedAwaySeconds += absl::ToDoubleSeconds(Time);
  }

  /// Corrects the part when an interval is over.
  void update(double Slots, absl::Time Now);

  /// \returns the part of new work to let in, 0 to 1.
  [[nodiscard]] double admitted() const { return m_Admitted; }
  /// \returns the work that is offered, in slots.
  [[nodiscard]] double offered() const { return m_Load; }

private:
  Options m_Settings;
  std::size_t m_Running = 0;
  absl::Time m_RunningSince = absl::InfinitePast();
  double m_RunningSeconds = 0;    ///< Since m_Since, of all slots.
  double m_TurnedAwaySeconds = 0; ///< Since m_Since.
  absl::Time m_Since = absl::InfinitePast();
  double m_Load = 0; ///< Smoothed: work offered, in slots.
  double m_Admitted = 1;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_DEMANDGAUGE_H
