#ifndef KNAPWEEDLOFT_POLICY_EARLYREFUSAL_H
#define KNAPWEEDLOFT_POLICY_EARLYREFUSAL_H

#include "model/Priority.h"

#include "absl/random/bit_gen_ref.h"
#include "absl/time/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace knapweedloft::policy {

/// Refuses at the entry side what the target sides of a service would shed.
///
/// One instance a service. The shed level is kept for each customer, since a
/// target side sheds first from those above their share. Enough requests are
/// let through to learn that the level has fallen. Not thread-safe.
class EarlyRefusal {
public:
  struct Options {
    bool m_IsEnabled = true;
    /// Weight of a new level against the older ones.
    float m_Smoothing = 0.2F;
    /// Without a new level it stays for so long, then falls to half in each
    /// half-life.
    absl::Duration m_Hold = absl::Seconds(1);
    absl::Duration m_HalfLife = absl::Milliseconds(500);
    /// A request is let through if no level came for so long.
    absl::Duration m_ProbeInterval = absl::Milliseconds(200);
    absl::Duration m_RetryAfter = absl::Seconds(1); ///< At level 1.
  };

  explicit EarlyRefusal(const Options &Settings);

  /// Tells a level fed back with an answer to \p Customer, a dense index.
  /// \p Weight is the limit of the target it came from, so that a small or
  /// cold target does not speak for the whole service.
  void observe(float ShedLevel, absl::Time Now, std::uint32_t Customer = 0,
               float Weight = 1);

  /// \returns nothing if the request may go on, else when to come back.
  [[nodiscard]] std::optional<absl::Duration>
  refuse(model::Priority Priority, absl::Time Now, absl::BitGenRef Random,
         std::uint32_t Customer = 0);

  /// \returns the level that is in force for \p Customer.
  [[nodiscard]] float level(absl::Time Now, std::uint32_t Customer = 0) const;

private:
  struct Entry {
    float m_Level = 0;
    absl::Time m_Updated = absl::InfinitePast();
    absl::Time m_Probed = absl::InfinitePast();
  };

  Options m_Settings;
  std::vector<Entry> m_Entries;
  float m_MeanWeight = 0;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_EARLYREFUSAL_H
