#ifndef KNAPWEEDLOFT_APP_BURNWINDOW_H
#define KNAPWEEDLOFT_APP_BURNWINDOW_H

#include "app/BurnCounts.h"

#include "absl/time/time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace knapweedloft::app {

/// The counts of the last six hours in slots of a minute: 8.6 KB.
class BurnWindow {
public:
  static constexpr std::size_t SlotCount = 360;
  static constexpr absl::Duration SlotLength = absl::Minutes(1);

  void add(const BurnCounts &Counts, absl::Time Now);

  /// \returns the sum over the slots that ended less than \p Length ago, the
  /// running one included.
  [[nodiscard]] BurnCounts sum(absl::Duration Length, absl::Time Now) const;

private:
  struct Slot {
    std::int64_t m_Minute = -1;
    BurnCounts m_Counts;
  };

  std::array<Slot, SlotCount> m_Slots{};
};

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_BURNWINDOW_H
