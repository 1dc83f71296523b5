#include "app/BurnWindow.h"

namespace knapweedloft::app {
namespace {

std::int64_t minuteOf(absl::Time Now) {
  return absl::ToInt64Minutes(Now - absl::UnixEpoch());
}

} // namespace

void BurnWindow::add(const BurnCounts &Counts, absl::Time Now) {
  std::int64_t Minute = minuteOf(Now);
  Slot &Current = m_Slots[static_cast<std::size_t>(Minute) % SlotCount];
  if (Current.m_Minute != Minute)
    Current = {Minute, {}};
  Current.m_Counts.add(Counts);
}

BurnCounts BurnWindow::sum(absl::Duration Length, absl::Time Now) const {
  std::int64_t Newest = minuteOf(Now);
  std::int64_t Oldest = Newest - absl::ToInt64Minutes(Length) + 1;
  BurnCounts Sum;
  for (const Slot &Each : m_Slots)
    if (Each.m_Minute >= Oldest && Each.m_Minute <= Newest)
      Sum.add(Each.m_Counts);
  return Sum;
}

} // namespace knapweedloft::app
