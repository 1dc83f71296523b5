#ifndef KNAPWEEDLOFT_POLICY_EARLYREFUSAL_H
#define KNAPWEEDLOFT_POLICY_EARLYREFUSAL_H

#include "model/Priority.h"

#include "absl/random/bit_gen_ref.h"
#include "absl/time/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace knapweedloft::policy {

/// Refuses requests at the entry side that the target sides of a service would
/// shed.
///
/// One instance per service. The shed level is kept per customer, since a
/// target side sheds customers above their share first. Enough requests are
/// let through as probes to notice when the level has fallen. Not thread-safe.
class EarlyRefusal {
public:
  struct Options {
    bool m_IsEnabled = true;
    /// Weight of a new level in the moving average.
    float m_Smoothing = 0.2F;
    /// Without a new level, the level is held for this time and then decays by
    /// half in each half-life.
    absl::Duration m_Hold = absl::Seconds(1);
    absl::Duration m_HalfLife = absl::Milliseconds(500);
    /// A request is let through as a probe if no level was received for this
    /// time.
    absl::Duration m_ProbeInterval = absl::Milliseconds(200);
    absl::Duration m_RetryAfter = absl::Seconds(1); ///< At level 1.
  };

  explicit EarlyRefusal(const Options &Settings);

  /// Reports the level received with an answer to \p Customer, a dense index.
  /// \p Weight is the concurrency limit of the reporting target, so that a
  /// small or cold target does not stand for the whole service.
  void observe(float ShedLevel, absl::Time Now, std::uint32_t Customer = 0,
               float Weight = 1);

  /// \returns nothing if the request may proceed, else its retry-after.
  [[nodiscard]] std::optional<absl::Duration>
  refuse(model::Priority Priority, absl::Time Now, absl::BitGenRef Random,
         std::uint32_t Customer = 0);

  /// \returns the current level for \p Customer.
  [[nodiscard]] float level(absl::Time Now, std::uint32_t Customer = 0) const;

private:
  struct Entry {
    float m_Level = 0;
    absl::Time m_LastUpdate = absl::InfinitePast();
    absl::Time m_LastProbe = absl::InfinitePast();
  };

  Options m_Settings;
  std::vector<Entry> m_Entries;
  float m_MeanWeight = 0;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_EARLYREFUSAL_H
