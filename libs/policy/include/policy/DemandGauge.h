#ifndef KNAPWEEDLOFT_POLICY_DEMANDGAUGE_H
#define KNAPWEEDLOFT_POLICY_DEMANDGAUGE_H

#include "absl/time/time.h"

namespace knapweedloft::policy {

/// Tells what part of new work the entrances are to let in, so that the work
/// that reaches one target stays just below what it can do.
///
/// Work offered is measured as it arrives, whether it is run or turned away,
/// and compared with the slots. Answers chains whose narrowest service lies
/// several calls below the entrance: what is let in there comes here later, and
/// turning it away here would waste all that was done above. The part is
/// corrected by the ratio itself, no faster than work takes to come down the
/// chain. After the propagation of demand through the stages of a pipeline in
/// the related paper; here each stage tells the entrances. Not thread-safe.
class DemandGauge {
public:
  struct Options {
    double m_Aim = 0.92; ///< Of the slots that work is to fill.
    absl::Duration m_Interval = absl::Milliseconds(250);
    double m_MostCut = 0.75;  ///< Factor of one interval at most.
    double m_MostRise = 1.08; ///< Factor of one interval at most.
    double m_Least = 0.05;    ///< So that an end of the load is noticed.
  };

  explicit DemandGauge(const Options &Settings) : m_Settings(Settings) {}

  /// Work that takes one slot for \p Time was offered.
  void onOffered(absl::Duration Time) {
    m_OfferedSeconds += absl::ToDoubleSeconds(Time);
  }

  /// Corrects the part when an interval is over.
  void update(double Slots, absl::Time Now);

  /// \returns the part of new work to let in, 0 to 1.
  [[nodiscard]] double admitted() const { return m_Admitted; }

private:
  Options m_Settings;
  double m_OfferedSeconds = 0; ///< Since m_Since.
  absl::Time m_Since = absl::InfinitePast();
  double m_Load = 0; ///< Smoothed: work offered, in slots.
  double m_Admitted = 1;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_DEMANDGAUGE_H
