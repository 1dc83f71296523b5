#include "state/ImageSchedule.h"

#include "absl/random/uniform_real_distribution.h"

#include <algorithm>

namespace knapweedloft::state {

bool ImageSchedule::shouldWrite(const ImageView &View, absl::Time Now,
                                absl::BitGenRef Random) {
  notePart(View, Now);
  if (!isDue(View)) {
    m_WriteAt.reset();
    return false;
  }
  if (!m_WriteAt) {
    const double Share = absl::uniform_real_distribution<>()(Random);
    m_WriteAt = Now + Share * m_Limits.m_Spread;
  }
  const bool IsUnderWay =
      m_LastPart > View.m_Image && Now - m_LastPartAt < m_Limits.m_Patience;
  if (IsUnderWay || Now < *m_WriteAt)
    return false;
  // Should this image not come through, the next one is not due at once.
  m_WriteAt = Now + m_Limits.m_Patience;
  return true;
}

bool ImageSchedule::isDue(const ImageView &View) const {
  if (View.m_End == 0)
    return false;
  if (View.m_End >= View.m_Image + m_Limits.m_MaxRecords)
    return true;
  // While nothing has expired, the log itself is as good as an image.
  const model::LogOffset Kept = View.m_End - std::min(View.m_First, View.m_End);
  return View.m_First > 0 && View.m_Image < View.m_First + Kept / 2;
}

void ImageSchedule::notePart(const ImageView &View, absl::Time Now) {
  if (View.m_Part <= m_LastPart)
    return;
  m_LastPart = View.m_Part;
  m_LastPartAt = Now;
}

} // namespace knapweedloft::state
