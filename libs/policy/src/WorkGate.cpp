#include "policy/WorkGate.h"

#include <algorithm>
#include <cmath>

namespace knapweedloft::policy {
namespace {

/// Waiting jobs are looked through this often, so that those that have become
/// hopeless are told soon.
constexpr absl::Duration ReviewInterval = absl::Milliseconds(20);

} // namespace

std::uint32_t WorkGate::limit() const {
  double Share = std::floor(m_Slots * m_Settings.m_SlotShare);
  return std::max(1U, static_cast<std::uint32_t>(Share));
}

void WorkGate::setCold(absl::Time Until, double PerSecond) {
  m_ColdPerSecond = PerSecond * m_Settings.m_ColdPart;
  m_Cold.setCold(Until, m_ColdPerSecond);
}

absl::Duration WorkGate::latencyOf(Kind Which) const {
  if (Which < m_KindSeconds.size() && m_KindSeconds[Which] > 0)
    return absl::Seconds(m_KindSeconds[Which]);
  return meanLatency();
}

absl::Duration WorkGate::meanLatency() const {
  return m_MeanSeconds > 0 ? absl::Seconds(m_MeanSeconds)
                           : m_Settings.m_FirstLatency;
}

double WorkGate::startsPerSecond(absl::Time Now) const {
  double BySlots = limit() / absl::ToDoubleSeconds(meanLatency());
  return m_Cold.isCold(Now) ? std::min(BySlots, m_ColdPerSecond) : BySlots;
}

absl::Duration WorkGate::waitOf(std::uint32_t Rank, absl::Time Now) const {
  std::size_t Ahead = 0;
  for (const auto &[Other, Count] : m_QueuedByRank)
    if (Other <= Rank)
      Ahead += Count;
  bool IsFree = hasSlot() && m_Cold.nextStart(Now) <= Now;
  if (Ahead == 0 && IsFree)
    return absl::ZeroDuration();
  return absl::Seconds(static_cast<double>(Ahead + 1) / startsPerSecond(Now));
}

void WorkGate::start(const Job &Next) {
  m_Running.emplace(Next.m_Id, Next.m_Kind);
}

WorkGate::Verdict WorkGate::offer(const Job &Next, absl::Time Now) {
  if (m_Queue.empty() && hasSlot() && m_Cold.tryStart(Now)) {
    start(Next);
    return Verdict::Run;
  }
  absl::Time Ends = Now + waitOf(Next.m_Rank, Now) + latencyOf(Next.m_Kind);
  if (Ends > Next.m_EndBy || m_Queue.size() >= m_Settings.m_MaxQueued)
    return Verdict::Refused;
  Place Where{Next.m_Rank, ++m_Arrivals};
  m_Queue.emplace(Where, Next);
  m_Places.emplace(Next.m_Id, Where);
  ++m_QueuedByRank[Next.m_Rank];
  return Verdict::Queued;
}

void WorkGate::finish(JobId Id, absl::Duration Latency, bool IsTelling) {
  auto Found = m_Running.find(Id);
  if (Found == m_Running.end())
    return;
  Kind Which = Found->second;
  m_Running.erase(Found);
  if (!IsTelling)
    return;
  if (Which >= m_KindSeconds.size())
    m_KindSeconds.resize(Which + 1);
  double Seconds = absl::ToDoubleSeconds(Latency);
  for (double *Mean : {&m_KindSeconds[Which], &m_MeanSeconds})
    *Mean = *Mean > 0 ? *Mean + m_Settings.m_Smoothing * (Seconds - *Mean)
                      : Seconds;
}

bool WorkGate::cancel(JobId Id) {
  auto Found = m_Places.find(Id);
  if (Found == m_Places.end())
    return false;
  auto Counted = m_QueuedByRank.find(Found->second.first);
  if (--Counted->second == 0)
    m_QueuedByRank.erase(Counted);
  m_Queue.erase(Found->second);
  m_Places.erase(Found);
  return true;
}

void WorkGate::poll(absl::Time Now, std::vector<JobId> &Run,
                    std::vector<Refusal> &Refused) {
  while (!m_Queue.empty() && hasSlot()) {
    Job Next = m_Queue.begin()->second;
    if (Now + latencyOf(Next.m_Kind) > Next.m_EndBy) {
      cancel(Next.m_Id);
      Refused.push_back({Next.m_Id, waitOf(Next.m_Rank, Now)});
      continue;
    }
    if (!m_Cold.tryStart(Now))
      break;
    cancel(Next.m_Id);
    start(Next);
    Run.push_back(Next.m_Id);
  }
  if (Now < m_NextReview)
    return;
  m_NextReview = Now + ReviewInterval;
  dropLate(Now, Refused);
}

void WorkGate::dropLate(absl::Time Now, std::vector<Refusal> &Refused) {
  if (m_Queue.empty())
    return;
  double PerSecond = startsPerSecond(Now);
  std::size_t Ahead = 0;
  std::vector<Job> Late;
  for (const auto &[Where, Waiting] : m_Queue) {
    absl::Time Begins =
        Now + absl::Seconds(static_cast<double>(Ahead + 1) / PerSecond);
    if (Begins + latencyOf(Waiting.m_Kind) > Waiting.m_EndBy)
      Late.push_back(Waiting);
    else
      ++Ahead;
  }
  for (const Job &Hopeless : Late) {
    cancel(Hopeless.m_Id);
    Refused.push_back({Hopeless.m_Id, waitOf(Hopeless.m_Rank, Now)});
  }
}

void WorkGate::refuseAll(std::vector<Refusal> &Refused) {
  for (const auto &[Where, Waiting] : m_Queue)
    Refused.push_back({Waiting.m_Id, absl::ZeroDuration()});
  m_Queue.clear();
  m_Places.clear();
  m_QueuedByRank.clear();
}

WorkGate::Load WorkGate::load() const {
  return {.m_Limit = limit(),
          .m_Running = static_cast<std::uint32_t>(m_Running.size()),
          .m_Queued = static_cast<std::uint32_t>(m_Queue.size()),
          .m_Latency = absl::Seconds(m_MeanSeconds)};
}

} // namespace knapweedloft::policy
