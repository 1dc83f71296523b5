#include "AdmissionImpl.h"

#include "policy/PolicyError.h"

#include <algorithm>

namespace knapweedloft::policy {
namespace {

/// Bounds of the wait in the queue, in latencies and absolute.
constexpr double WaitLatencies = 3;
constexpr absl::Duration LeastMaxWait = absl::Milliseconds(50);
/// Share of the longest wait that shedding aims at.
constexpr double TargetWaitShare = 0.25;
/// Retry-After of a refusal, spread over this span by the ticket.
constexpr absl::Duration LeastRetryAfter = absl::Milliseconds(500);
constexpr absl::Duration RetryAfterSpan = absl::Seconds(1);
/// A prime near 2^32 divided by the golden ratio.
constexpr std::uint64_t SpreadFactor = 2654435761;
constexpr std::uint64_t SpreadSteps = 1024;

ConcurrencyLimit::Options limitOptions(const AdmissionOptions &Settings) {
  return {.m_Initial = Settings.m_InitialLimit,
          .m_Min = Settings.m_MinLimit,
          .m_Max = Settings.m_MaxLimit};
}

FairQueue::Options queueOptions(const AdmissionOptions &Settings) {
  return {.m_Capacity = Settings.m_MaxQueued,
          .m_IsFair = Settings.m_UseFairQueue,
          .m_UsePriorities = Settings.m_UsePriorities};
}

} // namespace

Admission::Impl::Impl(const Options &Settings, absl::Time Now)
    : m_Settings(Settings), m_Limit(limitOptions(Settings), Now),
      m_Queue(queueOptions(Settings)), m_NextTick(Now) {
  if (Settings.m_FixedLimit < 1 || Settings.m_MaxQueued < 1)
    throw PolicyError("admission needs a limit and a queue of 1 or more");
  auto Tickets = static_cast<std::size_t>(Settings.m_MaxLimit);
  m_Tickets.reserve(2 * (Tickets + Settings.m_MaxQueued));
  m_Dropped.reserve(Settings.m_MaxQueued);
}

double Admission::Impl::limit() const {
  return m_Settings.m_UseAdaptiveLimit ? m_Limit.current()
                                       : m_Settings.m_FixedLimit;
}

absl::Duration Admission::Impl::maxWait() const {
  return std::clamp(WaitLatencies * m_Limit.latency(), LeastMaxWait,
                    std::max(m_Settings.m_MaxWait, LeastMaxWait));
}

bool Admission::Impl::isTooLate(const Ticket &Request, absl::Time Now) const {
  if (!m_Settings.m_UseDeadlines)
    return false;
  // With nothing running, the estimate is tried out rather than trusted.
  absl::Duration Needed =
      m_Running > 0 ? m_FastLatency.estimate() : absl::ZeroDuration();
  return Now + Needed >= Request.m_Deadline;
}

AdmissionDecision Admission::Impl::refuse(model::RefusalReason Reason,
                                          TicketId Id) const {
  std::uint64_t Step = Id * SpreadFactor % SpreadSteps;
  double Spread = static_cast<double>(Step) / SpreadSteps;
  return {Verdict::Refused, Reason, LeastRetryAfter + Spread * RetryAfterSpan};
}

void Admission::Impl::start(TicketId Id, absl::Time Now) {
  m_Tickets[Id] = Running;
  m_Limit.onStart(++m_Running, Now);
}

AdmissionDecision Admission::Impl::offer(const Ticket &Request,
                                         absl::Time Now) {
  if (m_Tickets.contains(Request.m_Id))
    throw PolicyError("a ticket with this id runs or waits");
  m_Shed.onArrival(m_Queue.flowOf(Request));
  if (Request.m_Deadline <= Now && m_Settings.m_UseDeadlines)
    return refuse(model::RefusalReason::DeadlinePassed, Request.m_Id);
  if (isTooLate(Request, Now))
    return refuse(model::RefusalReason::DeadlineTooShort, Request.m_Id);
  if (hasSlot() && m_Queue.size() == 0) {
    m_Queue.passBy(Request);
    start(Request.m_Id, Now);
    return {Verdict::Run};
  }
  if (!makeRoom(Request))
    return refuse(model::RefusalReason::Overloaded, Request.m_Id);
  m_Tickets[Request.m_Id] = *m_Queue.push(Request, Now);
  return {Verdict::Queued};
}

bool Admission::Impl::makeRoom(const Ticket &Request) {
  if (m_Queue.size() < m_Settings.m_MaxQueued)
    return true;
  auto Victim = m_Queue.victimFor(Request);
  if (!Victim)
    return false;
  drop(*Victim, model::RefusalReason::Overloaded);
  return true;
}

void Admission::Impl::drop(FairQueue::Place Where,
                           model::RefusalReason Reason) {
  TicketId Id = m_Queue.at(Where).m_Ticket.m_Id;
  m_Dropped.push_back({Id, Reason, refuse(Reason, Id).m_RetryAfter});
  m_Tickets.erase(Id);
  m_Queue.remove(Where);
}

void Admission::Impl::finish(TicketId Id, RunOutcome Outcome,
                             absl::Duration Latency, absl::Time Now) {
  auto Found = m_Tickets.find(Id);
  if (Found == m_Tickets.end() || Found->second != Running)
    return;
  m_Tickets.erase(Found);
  m_Limit.onFinish(--m_Running, Outcome, Latency, Now);
  if (Outcome == RunOutcome::Success)
    m_FastLatency.observe(Latency);
  if (m_Restarts.observe(Outcome, m_Running))
    restart(Now);
}

bool Admission::Impl::cancel(TicketId Id) {
  auto Found = m_Tickets.find(Id);
  if (Found == m_Tickets.end() || Found->second == Running)
    return false;
  m_Queue.remove(Found->second);
  m_Tickets.erase(Found);
  return true;
}

void Admission::Impl::poll(absl::Time Now, std::vector<TicketId> &Run,
                           std::vector<AdmissionRefusal> &Refused) {
  if (Now >= m_NextTick)
    tick(Now);
  startWaiting(Now, Run);
  Refused.insert(Refused.end(), m_Dropped.begin(), m_Dropped.end());
  m_Dropped.clear();
}

void Admission::Impl::startWaiting(absl::Time Now, std::vector<TicketId> &Run) {
  while (hasSlot()) {
    auto Next = m_Queue.front();
    if (!Next)
      return;
    const Ticket &Request = m_Queue.at(*Next).m_Ticket;
    if (isTooLate(Request, Now)) {
      drop(*Next, model::RefusalReason::DeadlineTooShort);
      continue;
    }
    TicketId Id = Request.m_Id;
    m_Queue.serve(*Next);
    start(Id, Now);
    Run.push_back(Id);
  }
}

void Admission::Impl::dropExpiredOf(FlowId Flow, absl::Time Now) {
  while (auto Head = m_Queue.headOf(Flow)) {
    const FairQueue::Item &Oldest = m_Queue.at(*Head);
    if (isTooLate(Oldest.m_Ticket, Now)) {
      drop(*Head, model::RefusalReason::DeadlineTooShort);
      continue;
    }
    if (Now - Oldest.m_Since < maxWait())
      return;
    drop(*Head, model::RefusalReason::Overloaded);
    m_Expired.push_back(Flow);
  }
}

void Admission::Impl::dropExpired(absl::Time Now) {
  m_Expired.clear();
  for (FlowId Flow = 0; Flow < m_Queue.flowCount(); ++Flow)
    dropExpiredOf(Flow, Now);
}

void Admission::Impl::tick(absl::Time Now) {
  m_NextTick = Now + ShedController::Interval;
  dropExpired(Now);
  if (!m_Settings.m_UseShedding)
    return;
  bool IsIdle = m_Queue.size() == 0 && hasSlot();
  absl::Duration Target = maxWait() * TargetWaitShare;
  for (FlowId Flow = 0; Flow < m_Queue.flowCount(); ++Flow) {
    absl::Duration Wait = absl::ZeroDuration();
    if (auto Head = m_Queue.headOf(Flow))
      Wait = Now - m_Queue.at(*Head).m_Since;
    if (std::find(m_Expired.begin(), m_Expired.end(), Flow) != m_Expired.end())
      Wait = maxWait();
    m_Shed.update(Flow, Wait, Target, IsIdle);
  }
  m_Shed.endInterval();
}

bool Admission::Impl::isQuiet() const {
  return m_Queue.size() == 0 && !m_Shed.isActive();
}

absl::Time Admission::Impl::nextEvent() const {
  return isQuiet() ? absl::InfiniteFuture() : m_NextTick;
}

void Admission::Impl::restart(absl::Time Now) {
  if (m_Settings.m_UseRamp)
    m_Limit.restart(Now);
}

float Admission::Impl::meanLevel() const { return m_Shed.meanLevel(); }

float Admission::Impl::levelOf(std::uint32_t Customer) const {
  return m_Shed.levelOf(m_Settings.m_UseFairQueue ? Customer : 0);
}

AdmissionLoad Admission::Impl::load(float ShedLevel) const {
  return {.m_Limit = static_cast<float>(limit()),
          .m_InFlight = m_Running,
          .m_Queued = static_cast<std::uint32_t>(m_Queue.size()),
          .m_ShedLevel = ShedLevel,
          .m_Latency = m_Limit.latency(),
          .m_IsRamping = m_Limit.isRamping()};
}

} // namespace knapweedloft::policy
