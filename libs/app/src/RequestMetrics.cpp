#include "app/RequestMetrics.h"

#include <atomic>

namespace knapweedloft::app {
namespace {

using model::RefusalReason;

std::size_t shardOfThread(std::size_t Count) {
  static std::atomic<std::size_t> Next{0};
  thread_local std::size_t Mine = Next.fetch_add(1);
  return Mine % Count;
}

/// What the caller did wrong does not count against the service level.
bool isCallersFault(RefusalReason Reason) {
  switch (Reason) {
  case RefusalReason::BadRequest:
  case RefusalReason::BadKey:
  case RefusalReason::UnknownRoute:
  case RefusalReason::BodyTooLarge:
  case RefusalReason::OverRate:
  case RefusalReason::IdempotencyMismatch:
  case RefusalReason::Cancelled:
  case RefusalReason::DeadlineTooShort:
    return true;
  default:
    return false;
  }
}

constexpr int FirstServerError = 500;

} // namespace

RequestMetrics::RequestMetrics(Options Settings) : m_Options(Settings) {}

BurnCounts RequestMetrics::classify(const RequestRecord &Ended) const {
  BurnCounts Counts;
  if (isCallersFault(Ended.m_Reason))
    return Counts;
  Counts.m_Total = 1;
  Counts.m_Refused = Ended.m_Reason != RefusalReason::None ? 1 : 0;
  Counts.m_Failed =
      Counts.m_Refused != 0 || Ended.m_Status >= FirstServerError ? 1 : 0;
  if (Counts.m_Failed == 0)
    Counts.m_Slow = Ended.m_Latency > m_Options.m_Objective.m_Latency ? 1 : 0;
  return Counts;
}

void RequestMetrics::record(const RequestRecord &Ended, absl::Time Now) {
  BurnCounts Counts = classify(Ended);
  Shard &Mine = m_Shards[shardOfThread(ShardCount)];
  absl::MutexLock Lock(&Mine.m_Mutex);
  Key Name(Ended.m_Route, Ended.m_Customer);
  if (Mine.m_Series.size() >= m_Options.m_MaxSeries &&
      !Mine.m_Series.contains(Name))
    Name = Key("", "*");
  RequestSeries &Series = Mine.m_Series[Name];
  Series.m_Window.add(Counts, Now);
  Series.m_Attempts += Ended.m_Attempts;
  ++Series.m_ByReason[static_cast<std::size_t>(Ended.m_Reason)];
  if (Ended.m_Reason != RefusalReason::None)
    return;
  if (Ended.m_Status >= FirstServerError) {
    ++Series.m_TargetErrors;
    return;
  }
  Series.m_Latency(absl::ToDoubleSeconds(Ended.m_Latency));
  Series.m_Histogram.add(Ended.m_Latency);
}

void RequestMetrics::forEach(
    const std::function<void(const Key &, const RequestSeries &)> &Visit)
    const {
  for (const Shard &Each : m_Shards) {
    absl::MutexLock Lock(&Each.m_Mutex);
    for (const auto &[Name, Series] : Each.m_Series)
      Visit(Name, Series);
  }
}

} // namespace knapweedloft::app
