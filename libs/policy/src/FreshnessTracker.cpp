#include "policy/FreshnessTracker.h"

#include <algorithm>

namespace knapweedloft::policy {

void FreshnessTracker::onStamp(const LogStamp &Stamp,
                               model::LogOffset Applied) {
  m_FurthestEnd = std::max(m_FurthestEnd, Stamp.m_End);
  LogStamp &Newest = Stamp.m_IsUnavailable ? m_Outage : m_Read;
  if (Stamp.m_At > Newest.m_At)
    Newest = Stamp;
  if (Stamp.m_End <= Applied) {
    apply(Stamp);
    return;
  }
  // Keep the oldest: if newer stamps replaced it, a steady stream of records
  // would postpone freshness forever.
  if (!m_Pending)
    m_Pending = Stamp;
}

void FreshnessTracker::onApplied(model::LogOffset Applied) {
  if (m_Pending && m_Pending->m_End <= Applied) {
    apply(*m_Pending);
    m_Pending.reset();
  }
  if (m_Read.m_End <= Applied)
    apply(m_Read);
  if (m_Outage.m_IsUnavailable && m_Outage.m_End <= Applied)
    apply(m_Outage);
}

FreshnessBounds FreshnessTracker::bounds() const {
  return {.m_Fresh = m_FreshAt + m_Settings.m_Bound,
          .m_Behind = m_Read.m_At + m_Settings.m_Bound,
          .m_LogUnavailable = m_UnavailableAt + m_Settings.m_Bound,
          .m_Partitioned = m_PartitionedAt + m_Settings.m_Bound};
}

bool FreshnessTracker::isTrusted(absl::Time Now) const {
  Freshness Current = freshnessAt(Now);
  return Current == Freshness::Fresh || Current == Freshness::LogUnavailable ||
         (Current == Freshness::Partitioned && m_Settings.m_ServesPartitioned);
}

bool FreshnessTracker::mayHoldLease(absl::Time Now) const {
  Freshness Current = freshnessAt(Now);
  return Current == Freshness::Fresh || Current == Freshness::LogUnavailable;
}

const LogStamp &FreshnessTracker::newest() const {
  if (!m_Outage.m_IsUnavailable ||
      m_Read.m_At + m_Settings.m_Bound / 2 > m_Outage.m_At)
    return m_Read;
  return m_Outage;
}

void FreshnessTracker::apply(const LogStamp &Stamp) {
  absl::Time &At = !Stamp.m_IsUnavailable  ? m_FreshAt
                   : Stamp.m_IsPartitioned ? m_PartitionedAt
                                           : m_UnavailableAt;
  At = std::max(At, Stamp.m_At);
}

} // namespace knapweedloft::policy
