#include "AdmissionImpl.h"

#include "policy/PolicyError.h"

#include <algorithm>

namespace knapweedloft::policy {
namespace {

/// The maximum queue wait is this many mean latencies, but no less than
/// MinMaxWait.
constexpr double MaxWaitLatencies = 3;
constexpr absl::Duration MinMaxWait = absl::Milliseconds(50);
/// Queue wait that shedding aims for, as a share of the maximum wait.
constexpr double TargetWaitShare = 0.25;
/// Retry-after of a refusal: the minimum plus a jitter derived from the ticket
/// id.
constexpr absl::Duration MinRetryAfter = absl::Milliseconds(500);
constexpr absl::Duration RetryAfterJitter = absl::Seconds(1);
/// A prime near 2^32 divided by the golden ratio (multiplicative hashing).
constexpr std::uint64_t JitterHashFactor = 2654435761;
constexpr std::uint64_t JitterSteps = 1024;

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
    throw PolicyError(
        "admission needs a fixed limit and a queue capacity of at least 1");
  auto Tickets = static_cast<std::size_t>(Settings.m_MaxLimit);
  m_Tickets.reserve(2 * (Tickets + Settings.m_MaxQueued));
  m_Dropped.reserve(Settings.m_MaxQueued);
}

double Admission::Impl::limit() const {
  return m_Settings.m_UseAdaptiveLimit ? m_Limit.current()
                                       : m_Settings.m_FixedLimit;
}

absl::Duration Admission::Impl::maxWait() const {
  return std::clamp(MaxWaitLatencies * m_Limit.latency(), MinMaxWait,
                    std::max(m_Settings.m_MaxWait, MinMaxWait));
}

bool Admission::Impl::cannotMeetDeadline(const Ticket &Request,
                                         absl::Time Now) const {
  if (!m_Settings.m_UseDeadlines)
    return false;
  // With nothing running, a request is run to refresh the estimate, which may
  // be out of date.
  absl::Duration Needed =
      m_Running > 0 ? m_LowLatency.estimate() : absl::ZeroDuration();
  return Now + Needed >= Request.m_Deadline;
}

AdmissionDecision Admission::Impl::refuse(model::RefusalReason Reason,
                                          TicketId Id) const {
  std::uint64_t Step = Id * JitterHashFactor % JitterSteps;
  double Jitter = static_cast<double>(Step) / JitterSteps;
  return {Verdict::Refused, Reason, MinRetryAfter + Jitter * RetryAfterJitter};
}

void Admission::Impl::start(TicketId Id, absl::Time Now) {
  m_Tickets[Id] = Running;
  m_Limit.onStart(++m_Running, Now);
}

AdmissionDecision Admission::Impl::offer(const Ticket &Request,
                                         absl::Time Now) {
  if (m_Tickets.contains(Request.m_Id))
    throw PolicyError("a ticket with this id is already running or queued");
  m_ShedController.onArrival(m_Queue.flowOf(Request));
  if (Request.m_Deadline <= Now && m_Settings.m_UseDeadlines)
    return refuse(model::RefusalReason::DeadlinePassed, Request.m_Id);
  if (cannotMeetDeadline(Request, Now))
    return refuse(model::RefusalReason::DeadlineTooShort, Request.m_Id);
  if (hasSlot() && m_Queue.size() == 0) {
    m_Queue.accountUnqueued(Request);
    start(Request.m_Id, Now);
    return {Verdict::Run};
  }
  if (!evictIfFull(Request))
    return refuse(model::RefusalReason::Overloaded, Request.m_Id);
  m_Tickets[Request.m_Id] = *m_Queue.push(Request, Now);
  return {Verdict::Queued};
}

bool Admission::Impl::evictIfFull(const Ticket &Request) {
  if (m_Queue.size() < m_Settings.m_MaxQueued)
    return true;
  auto Evicted = m_Queue.evictionCandidate(Request);
  if (!Evicted)
    return false;
  drop(*Evicted, model::RefusalReason::Overloaded);
  return true;
}

void Admission::Impl::drop(FairQueue::Position At,
                           model::RefusalReason Reason) {
  TicketId Id = m_Queue.at(At).m_Ticket.m_Id;
  m_Dropped.push_back({Id, Reason, refuse(Reason, Id).m_RetryAfter});
  m_Tickets.erase(Id);
  m_Queue.remove(At);
}

void Admission::Impl::finish(TicketId Id, RunOutcome Outcome,
                             absl::Duration Latency, absl::Time Now) {
  auto Found = m_Tickets.find(Id);
  if (Found == m_Tickets.end() || Found->second != Running)
    return;
  m_Tickets.erase(Found);
  m_Limit.onFinish(--m_Running, Outcome, Latency, Now);
  if (Outcome == RunOutcome::Success)
    m_LowLatency.observe(Latency);
  if (m_RestartDetector.observe(Outcome, m_Running))
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
  startQueued(Now, Run);
  Refused.insert(Refused.end(), m_Dropped.begin(), m_Dropped.end());
  m_Dropped.clear();
}

void Admission::Impl::startQueued(absl::Time Now, std::vector<TicketId> &Run) {
  while (hasSlot()) {
    auto Next = m_Queue.front();
    if (!Next)
      return;
    const Ticket &Request = m_Queue.at(*Next).m_Ticket;
    if (cannotMeetDeadline(Request, Now)) {
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
    if (cannotMeetDeadline(Oldest.m_Ticket, Now)) {
      drop(*Head, model::RefusalReason::DeadlineTooShort);
      continue;
    }
    if (Now - Oldest.m_Since < maxWait())
      return;
    drop(*Head, model::RefusalReason::Overloaded);
    m_TimedOutFlows.push_back(Flow);
  }
}

void Admission::Impl::dropExpired(absl::Time Now) {
  m_TimedOutFlows.clear();
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
    if (std::find(m_TimedOutFlows.begin(), m_TimedOutFlows.end(), Flow) !=
        m_TimedOutFlows.end())
      Wait = maxWait();
    m_ShedController.update(Flow, Wait, Target, IsIdle);
  }
  m_ShedController.endInterval();
}

bool Admission::Impl::isInactive() const {
  return m_Queue.size() == 0 && !m_ShedController.isActive();
}

absl::Time Admission::Impl::nextEvent() const {
  return isInactive() ? absl::InfiniteFuture() : m_NextTick;
}

void Admission::Impl::restart(absl::Time Now) {
  if (m_Settings.m_UseRamp)
    m_Limit.restart(Now);
}

float Admission::Impl::meanLevel() const {
  return m_ShedController.meanLevel();
}

float Admission::Impl::levelOf(std::uint32_t Customer) const {
  return m_ShedController.levelOf(m_Settings.m_UseFairQueue ? Customer : 0);
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
