#include "policy/SlotScheduler.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace knapweedloft::policy {
namespace {

/// Interval of queue scans, so that jobs that can no longer complete in time
/// are refused soon.
constexpr absl::Duration QueueScanInterval = absl::Milliseconds(20);
/// The queue is searched at once where the target slows down by more.
constexpr double RescanPaceRatio = 1.2;

} // namespace

std::uint32_t SlotScheduler::limit() const {
  double Share = std::floor(m_Slots * m_Settings.m_UsableSlotShare);
  return std::max(1U, static_cast<std::uint32_t>(Share));
}

void SlotScheduler::setCold(absl::Time Until, double PerSecond) {
  m_ColdStartsPerSecond = PerSecond * m_Settings.m_ColdRateShare;
  m_ColdPacer.setCold(Until, m_ColdStartsPerSecond);
}

void SlotScheduler::setRateLimit(double PerSecond, absl::Time Now) {
  if (PerSecond > 0)
    m_RatePacer.setRate(PerSecond, Now);
  else
    m_RatePacer.clear();
}

void SlotScheduler::setPace(double Pace) {
  if (Pace > m_Pace * RescanPaceRatio)
    m_NextQueueScan = absl::InfinitePast();
  m_Pace = Pace;
}

double SlotScheduler::usableSlots() const {
  if (!m_RatePacer.isLimited())
    return limit();
  return std::min<double>(limit(), m_RatePacer.perSecond() *
                                       absl::ToDoubleSeconds(meanLatency()));
}

bool SlotScheduler::tryPace(absl::Time Now) {
  if (m_RatePacer.nextStart(Now) > Now || !m_ColdPacer.tryStart(Now))
    return false;
  m_RatePacer.onStart(Now);
  return true;
}

absl::Duration SlotScheduler::expectedLatency(JobClass Class) const {
  if (Class < m_LatencySeconds.size() && m_LatencySeconds[Class] > 0)
    return absl::Seconds(m_Pace * m_LatencySeconds[Class]);
  return meanLatency();
}

absl::Duration SlotScheduler::meanLatency() const {
  return m_MeanLatencySeconds > 0 ? absl::Seconds(m_Pace * m_MeanLatencySeconds)
                                  : m_Settings.m_InitialLatency;
}

double SlotScheduler::startsPerSecond(absl::Time Now) const {
  double SlotRate = limit() / absl::ToDoubleSeconds(meanLatency());
  if (m_RatePacer.isLimited())
    SlotRate = std::min(SlotRate, m_RatePacer.perSecond());
  return m_ColdPacer.isCold(Now) ? std::min(SlotRate, m_ColdStartsPerSecond)
                                 : SlotRate;
}

absl::Duration SlotScheduler::expectedWait(std::uint32_t Rank,
                                           absl::Time Now) const {
  std::size_t Ahead = 0;
  for (const auto &[Other, Count] : m_QueuedByRank)
    if (Other <= Rank)
      Ahead += Count;
  return waitBehind(Ahead, Now);
}

std::size_t SlotScheduler::aheadOf(const Job &Next) const {
  std::size_t Ahead = 0;
  for (const auto &[Rank, Count] : m_QueuedByRank)
    if (Rank < Next.m_Rank)
      Ahead += Count;
  auto Of = m_QueuedByRank.find(Next.m_Rank);
  if (Of == m_QueuedByRank.end())
    return Ahead;
  if (Next.m_RunBefore == absl::InfiniteFuture())
    return Ahead + Of->second;
  auto First = m_Queue.lower_bound({Next.m_Rank, absl::InfinitePast(), 0});
  auto Last = m_Queue.lower_bound({Next.m_Rank, Next.m_RunBefore, 0});
  return Ahead + static_cast<std::size_t>(std::distance(First, Last));
}

absl::Duration SlotScheduler::waitBehind(std::size_t Ahead,
                                         absl::Time Now) const {
  bool CanStart = hasSlot() && m_ColdPacer.nextStart(Now) <= Now &&
                  m_RatePacer.nextStart(Now) <= Now;
  if (Ahead == 0 && CanStart)
    return absl::ZeroDuration();
  return absl::Seconds(static_cast<double>(Ahead + 1) / startsPerSecond(Now));
}

void SlotScheduler::start(const Job &Next) {
  m_Running.emplace(Next.m_Id, Next.m_Class);
}

SlotScheduler::Verdict SlotScheduler::offer(const Job &Next, absl::Time Now) {
  if (m_Queue.empty() && hasSlot() && tryPace(Now)) {
    start(Next);
    return Verdict::Run;
  }
  absl::Time CompletesAt =
      Now + waitBehind(aheadOf(Next), Now) + expectedLatency(Next.m_Class);
  if (CompletesAt > Next.m_CompleteBy ||
      m_Queue.size() >= m_Settings.m_MaxQueued)
    return Verdict::Refused;
  QueueKey Key{Next.m_Rank, Next.m_RunBefore, ++m_Arrivals};
  m_Queue.emplace(Key, Next);
  m_QueueKeys.emplace(Next.m_Id, Key);
  ++m_QueuedByRank[Next.m_Rank];
  return Verdict::Queued;
}

void SlotScheduler::finish(JobId Id, absl::Duration Latency,
                           bool IsRepresentative) {
  auto Found = m_Running.find(Id);
  if (Found == m_Running.end())
    return;
  JobClass Class = Found->second;
  m_Running.erase(Found);
  if (!IsRepresentative)
    return;
  if (Class >= m_LatencySeconds.size())
    m_LatencySeconds.resize(Class + 1);
  double Seconds = absl::ToDoubleSeconds(Latency);
  for (double *Mean : {&m_LatencySeconds[Class], &m_MeanLatencySeconds})
    *Mean = *Mean > 0 ? *Mean + m_Settings.m_Smoothing * (Seconds - *Mean)
                      : Seconds;
}

bool SlotScheduler::cancel(JobId Id) {
  auto Found = m_QueueKeys.find(Id);
  if (Found == m_QueueKeys.end())
    return false;
  auto Counted = m_QueuedByRank.find(Found->second.m_Rank);
  if (--Counted->second == 0)
    m_QueuedByRank.erase(Counted);
  m_Queue.erase(Found->second);
  m_QueueKeys.erase(Found);
  return true;
}

void SlotScheduler::poll(absl::Time Now, std::vector<JobId> &Run,
                         std::vector<Refusal> &Refused) {
  while (!m_Queue.empty() && hasSlot()) {
    Job Next = m_Queue.begin()->second;
    if (Now + expectedLatency(Next.m_Class) > Next.m_CompleteBy) {
      cancel(Next.m_Id);
      Refused.push_back({Next.m_Id, expectedWait(Next.m_Rank, Now)});
      continue;
    }
    if (!tryPace(Now))
      break;
    cancel(Next.m_Id);
    start(Next);
    Run.push_back(Next.m_Id);
  }
  if (Now < m_NextQueueScan)
    return;
  m_NextQueueScan = Now + QueueScanInterval;
  refuseLate(Now, Refused);
}

void SlotScheduler::refuseLate(absl::Time Now, std::vector<Refusal> &Refused) {
  if (m_Queue.empty())
    return;
  double PerSecond = startsPerSecond(Now);
  std::size_t Ahead = 0;
  std::vector<Job> Late;
  for (const auto &[Key, Queued] : m_Queue) {
    absl::Time StartsAt =
        Now + absl::Seconds(static_cast<double>(Ahead + 1) / PerSecond);
    if (StartsAt + expectedLatency(Queued.m_Class) > Queued.m_CompleteBy)
      Late.push_back(Queued);
    else
      ++Ahead;
  }
  for (const Job &Expired : Late) {
    cancel(Expired.m_Id);
    Refused.push_back({Expired.m_Id, expectedWait(Expired.m_Rank, Now)});
  }
}

void SlotScheduler::refuseAll(std::vector<Refusal> &Refused) {
  for (const auto &[Key, Queued] : m_Queue)
    Refused.push_back({Queued.m_Id, absl::ZeroDuration()});
  m_Queue.clear();
  m_QueueKeys.clear();
  m_QueuedByRank.clear();
}

SlotScheduler::Load SlotScheduler::load() const {
  return {.m_Limit = limit(),
          .m_Running = static_cast<std::uint32_t>(m_Running.size()),
          .m_Queued = static_cast<std::uint32_t>(m_Queue.size()),
          .m_Latency = absl::Seconds(m_MeanLatencySeconds),
          .m_UsableSlots = usableSlots()};
}

} // namespace knapweedloft::policy
