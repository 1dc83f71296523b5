#include "policy/FreshnessJudge.h"

#include <algorithm>

namespace knapweedloft::policy {

void FreshnessJudge::onStamp(const LogStamp &Stamp, model::LogOffset Applied) {
  m_FurthestEnd = std::max(m_FurthestEnd, Stamp.m_End);
  LogStamp &Newest = Stamp.m_IsAway ? m_Away : m_Read;
  if (Stamp.m_At > Newest.m_At)
    Newest = Stamp;
  if (Stamp.m_End <= Applied) {
    count(Stamp);
    return;
  }
  // The oldest one is kept: were it replaced, records that keep coming would
  // put freshness off for ever.
  if (!m_Pending)
    m_Pending = Stamp;
}

void FreshnessJudge::onApplied(model::LogOffset Applied) {
  if (m_Pending && m_Pending->m_End <= Applied) {
    count(*m_Pending);
    m_Pending.reset();
  }
  if (m_Read.m_End <= Applied)
    count(m_Read);
  if (m_Away.m_IsAway && m_Away.m_End <= Applied)
    count(m_Away);
}

FreshnessBounds FreshnessJudge::bounds() const {
  return {.m_Fresh = m_FreshAt + m_Settings.m_Bound,
          .m_Behind = m_Read.m_At + m_Settings.m_Bound,
          .m_LogAway = m_AwayAt + m_Settings.m_Bound,
          .m_Split = m_SplitAt + m_Settings.m_Bound};
}

bool FreshnessJudge::isTrusted(absl::Time Now) const {
  Freshness Verdict = judge(Now);
  return Verdict == Freshness::Fresh || Verdict == Freshness::LogAway ||
         (Verdict == Freshness::Split && m_Settings.m_ServesSplit);
}

bool FreshnessJudge::mayKeep(absl::Time Now) const {
  Freshness Verdict = judge(Now);
  return Verdict == Freshness::Fresh || Verdict == Freshness::LogAway;
}

const LogStamp &FreshnessJudge::newest() const {
  if (!m_Away.m_IsAway || m_Read.m_At + m_Settings.m_Bound / 2 > m_Away.m_At)
    return m_Read;
  return m_Away;
}

void FreshnessJudge::count(const LogStamp &Stamp) {
  absl::Time &At = !Stamp.m_IsAway   ? m_FreshAt
                   : Stamp.m_IsSplit ? m_SplitAt
                                     : m_AwayAt;
  At = std::max(At, Stamp.m_At);
}

} // namespace knapweedloft::policy
