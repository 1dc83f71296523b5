#include "Hop.h"

#include "absl/random/distributions.h"
#include "policy/AttemptBudget.h"

namespace knapweedloft::faults {
namespace {

/// Without adaptive limits.
constexpr double LooseLimit = 1024;

FakeTarget::Options targetOptions(const ServiceSpec &Spec) {
  return {.m_Slots = Spec.m_Slots, .m_Connections = Spec.m_Connections};
}

policy::Admission::Options gateOptions(const Mechanisms &InUse) {
  policy::Admission::Options Settings;
  Settings.m_UseAdaptiveLimit = InUse.has(Mechanism::Limit);
  Settings.m_UseFairQueue = InUse.has(Mechanism::FairQueue);
  Settings.m_UsePriorities = InUse.has(Mechanism::Priorities);
  Settings.m_UseShedding = InUse.has(Mechanism::Shedding);
  Settings.m_UseRamp = InUse.has(Mechanism::Ramp);
  Settings.m_UseDeadlines = InUse.has(Mechanism::Deadlines);
  Settings.m_FixedLimit = LooseLimit;
  return Settings;
}

} // namespace

struct Hop::Call {
  Work m_Work;
  Done m_Then;
  policy::AttemptBudget m_Budget{0};
  int m_Attempt = 0;
  std::vector<policy::TargetHandle> m_Tried;
  policy::TargetHandle m_To;
  std::uint64_t m_ForwardId = 0; ///< 0 while none is out.
  absl::Time m_SentAt;
  bool m_IsClosed = false;
};

Hop::Hop(Site &Shared, std::size_t Index, std::size_t Service,
         std::size_t DataCenter)
    : m_Site(Shared), m_Index(Index), m_Service(Service),
      m_DataCenter(DataCenter),
      m_Target(Shared.m_Events,
               targetOptions(Shared.m_Spec.m_Services[Service])),
      m_Gate(gateOptions(Shared.m_InUse), Shared.m_Events.now()) {}

Hop::~Hop() = default;

bool Hop::has(Mechanism One) const { return m_Site.m_InUse.has(One); }

void Hop::connect() {
  absl::Time Now = m_Site.m_Events.now();
  for (std::size_t Service = 0; Service < m_Site.m_Spec.m_Services.size();
       ++Service) {
    std::vector<policy::TargetInfo> Targets;
    for (std::size_t Index = 0; Index < m_Site.m_Hops.size(); ++Index) {
      const Hop &Other = *m_Site.m_Hops[Index];
      if (Other.service() == Service)
        Targets.push_back({Index + 1, std::to_string(Index), "region",
                           std::to_string(Other.dataCenter()), false});
    }
    m_Edges.push_back(
        std::make_unique<Edge>(m_Site.m_InUse, m_DataCenter, m_Index + 1));
    m_Edges.back()->m_Chooser.setTargets(Targets, Now);
  }
  bool HasGuard = has(Mechanism::DownstreamGuard);
  for (std::size_t Route = 0; Route < m_Site.m_Spec.m_Routes.size(); ++Route)
    m_Guards.emplace_back(
        policy::DownstreamGuard::Options{.m_IsEnabled = HasGuard});
}

const StepSpec &Hop::stepOf(const Work &Request) const {
  return m_Site.m_Spec.m_Routes[Request.m_Route].m_Steps[Request.m_Step];
}

model::Priority Hop::priorityOf(const Work &Request) const {
  return m_Site.m_Spec.m_Routes[Request.m_Route].m_Priority;
}

std::function<void()> Hop::submit(const Work &Request, Done Then) {
  auto Own = std::make_shared<Call>();
  Own->m_Work = Request;
  Own->m_Then = std::move(Then);
  Own->m_Budget = policy::AttemptBudget(Request.m_Retries);
  if (refuseEarly(*Own))
    return [] {};
  m_Site.m_Events.at(Request.m_Deadline, [this, Own] { expire(Own); });
  m_Edges[stepOf(Request).m_Service]->m_Retries.onFirstAttempt(
      Request.m_IsResend);
  attempt(Own);
  return [this, Own] { abandon(*Own); };
}

bool Hop::refuseEarly(Call &Own) {
  absl::Time Now = m_Site.m_Events.now();
  const Work &Request = Own.m_Work;
  Edge &To = *m_Edges[stepOf(Request).m_Service];
  auto Wait = To.m_Early.refuse(priorityOf(Request), Now, m_Site.m_Random,
                                Request.m_Customer);
  if (!Wait && Request.m_Step == 0)
    Wait = m_Guards[Request.m_Route].refuse(Now, m_Site.m_Random,
                                            Request.m_Customer);
  if (!Wait)
    return false;
  Own.m_IsClosed = true;
  Ending End{.m_Reason = model::RefusalReason::Overloaded,
             .m_Ran = model::Ran::No};
  m_Site.m_Events.after(absl::ZeroDuration(),
                        [Then = std::move(Own.m_Then), End] { Then(End); });
  return true;
}

void Hop::attempt(const std::shared_ptr<Call> &Own) {
  if (Own->m_IsClosed)
    return;
  absl::Time Now = m_Site.m_Events.now();
  Edge &To = *m_Edges[stepOf(Own->m_Work).m_Service];
  auto Target = To.m_Chooser.choose({Own->m_Tried, priorityOf(Own->m_Work)},
                                    m_Site.m_Random, Now);
  if (!Target) {
    close(*Own, {.m_Reason = model::RefusalReason::NoTarget,
                 .m_Ran = model::Ran::No});
    return;
  }
  To.m_Chooser.onSent(*Target, Now);
  ++Own->m_Attempt;
  ++m_Site.m_Forwards;
  Own->m_To = *Target;
  Own->m_SentAt = Now;
  std::uint64_t Id = Own->m_ForwardId = m_Site.m_NextId++;
  std::size_t Other = To.m_Chooser.info(*Target).m_Incarnation - 1;

  Forward Request;
  Request.m_Work = Own->m_Work;
  Request.m_Work.m_IsResend = Own->m_Work.m_IsResend || Own->m_Attempt > 1;
  Request.m_Work.m_Retries = has(Mechanism::RetryBudget)
                                 ? Own->m_Budget.takeForwardShare()
                                 : Own->m_Work.m_Retries;
  absl::Duration Delay = m_Site.delay(m_Index, Other);
  policy::TargetHandle Handle = *Target;
  Request.m_Answer = [this, Own, Id, Handle,
                      Delay](const Ending &End,
                             const policy::TargetFeedback &Load) {
    m_Site.m_Events.after(Delay, [this, Own, Id, Handle, End, Load] {
      if (Own->m_ForwardId == Id)
        onAnswer(Own, Handle, End, Load);
    });
  };
  m_Site.m_Events.after(
      Delay, [this, Other, Id, Request = std::move(Request)]() mutable {
        m_Site.m_Hops[Other]->receive(Id, std::move(Request));
      });
}

void Hop::onAnswer(const std::shared_ptr<Call> &Own, policy::TargetHandle To,
                   const Ending &End, const policy::TargetFeedback &Load) {
  absl::Time Now = m_Site.m_Events.now();
  Own->m_ForwardId = 0;
  Edge &Through = *m_Edges[stepOf(Own->m_Work).m_Service];
  bool IsHealthy =
      End.m_IsSuccess || End.isRefusal() || End.m_IsDownstreamFailure;
  Through.m_Chooser.onAnswer(To, Load, IsHealthy, Now - Own->m_SentAt, Now);
  Through.m_Early.observe(Load.m_ShedLevel, Now, Own->m_Work.m_Customer,
                          Load.m_Limit);
  if (Own->m_Work.m_Step == 0)
    m_Guards[Own->m_Work.m_Route].observe(End.m_IsDownstreamFailure, Now,
                                          Own->m_Work.m_Customer);
  if (Own->m_IsClosed)
    return;
  if (End.m_IsSuccess)
    close(*Own, End);
  else
    onFailed(Own, End);
}

void Hop::onFailed(const std::shared_ptr<Call> &Own, const Ending &End) {
  absl::Time Now = m_Site.m_Events.now();
  Edge &Through = *m_Edges[stepOf(Own->m_Work).m_Service];
  policy::RetryContext Failure;
  Failure.m_Reason = End.m_Reason;
  Failure.m_Ran = End.m_Ran;
  Failure.m_IsIdempotent =
      m_Site.m_Spec.m_Routes[Own->m_Work.m_Route].m_IsIdempotent;
  Failure.m_IsDownstreamFailure = End.m_IsDownstreamFailure;
  Failure.m_IsResend = Own->m_Work.m_IsResend;
  Failure.m_AttemptsLeft = Own->m_Budget.left();
  if (!has(Mechanism::RetryBudget))
    Failure.m_AttemptsLeft = Own->m_Work.m_Retries;
  Failure.m_Attempt = Own->m_Attempt;
  Failure.m_Deadline = Own->m_Work.m_Deadline;
  policy::RetryDecision Next =
      Through.m_Retries.decide(Failure, m_Site.m_Random, Now);
  if (!Next.m_IsRetry) {
    close(*Own, End);
    return;
  }
  if (has(Mechanism::RetryBudget))
    (void)Own->m_Budget.tryTake();
  Own->m_Tried.push_back(Own->m_To);
  m_Site.m_Events.after(Next.m_Wait, [this, Own] { attempt(Own); });
}

void Hop::expire(const std::shared_ptr<Call> &Own) {
  if (Own->m_IsClosed)
    return;
  abandon(*Own);
  Own->m_Then(
      {.m_Reason = model::RefusalReason::OutcomeUnknown, .m_IsExpired = true});
}

void Hop::abandon(Call &Own) {
  if (Own.m_IsClosed)
    return;
  Own.m_IsClosed = true;
  if (Own.m_ForwardId == 0)
    return;
  Edge &Through = *m_Edges[stepOf(Own.m_Work).m_Service];
  absl::Time Now = m_Site.m_Events.now();
  if (!has(Mechanism::Deadlines))
    return;
  Through.m_Chooser.onLost(Own.m_To, Now);
  std::size_t Other = Through.m_Chooser.info(Own.m_To).m_Incarnation - 1;
  m_Site.m_Events.after(m_Site.delay(m_Index, Other),
                        [this, Other, Id = Own.m_ForwardId] {
                          m_Site.m_Hops[Other]->cancel(Id);
                        });
  Own.m_ForwardId = 0;
}

void Hop::close(Call &Own, const Ending &End) {
  Own.m_IsClosed = true;
  Own.m_Then(End);
}

void Hop::receive(std::uint64_t Id, Forward Request) {
  absl::Time Now = m_Site.m_Events.now();
  const Work &Own = Request.m_Work;
  policy::Ticket Ticket{
      .m_Id = Id,
      .m_Priority = priorityOf(Own),
      .m_Customer = Own.m_Customer,
      .m_Deadline = Own.m_Deadline,
      .m_IsIdempotent = m_Site.m_Spec.m_Routes[Own.m_Route].m_IsIdempotent,
      .m_Weight =
          static_cast<float>(m_Site.m_Spec.m_Customers[Own.m_Customer])};
  m_Forwards[Id] = std::move(Request);
  policy::AdmissionDecision Decision = m_Gate.offer(Ticket, Now);
  if (Decision.m_Verdict == policy::Verdict::Run)
    run(Id);
  if (Decision.m_Verdict == policy::Verdict::Refused)
    answer(Id, {.m_Reason = Decision.m_Reason, .m_Ran = model::Ran::No});
  pump();
}

void Hop::cancel(std::uint64_t Id) {
  auto Found = m_Forwards.find(Id);
  if (Found == m_Forwards.end())
    return;
  absl::Time Now = m_Site.m_Events.now();
  if (!Found->second.m_IsRunning) {
    (void)m_Gate.cancel(Id, Now);
    m_Forwards.erase(Id);
    return;
  }
  Forward Gone = std::move(Found->second);
  m_Forwards.erase(Id);
  m_Target.cancel(Id);
  if (Gone.m_GiveUpBelow)
    Gone.m_GiveUpBelow();
  bool IsLate = Now >= Gone.m_Work.m_Deadline;
  auto Lost =
      IsLate ? policy::RunOutcome::Timeout : policy::RunOutcome::Cancelled;
  ++m_Site.m_Ends[m_Service][static_cast<std::size_t>(Lost)];
  m_Gate.finish(
      Id, IsLate ? policy::RunOutcome::Timeout : policy::RunOutcome::Cancelled,
      Now - Gone.m_Began, Now);
  pump();
}

void Hop::run(std::uint64_t Id) {
  Forward &Own = m_Forwards[Id];
  Own.m_IsRunning = true;
  Own.m_Began = m_Site.m_Events.now();
  FakeTarget::Call Request;
  Request.m_Id = Id;
  double Draw = absl::Uniform(m_Site.m_Random, 0.5, 1.5);
  Request.m_Work = stepOf(Own.m_Work).m_Work * Draw;
  Request.m_Done = [this, Id](policy::RunOutcome Outcome) {
    onRun(Id, Outcome);
  };
  std::size_t Steps = m_Site.m_Spec.m_Routes[Own.m_Work.m_Route].m_Steps.size();
  if (Own.m_Work.m_Step + 1 < Steps)
    Request.m_Nested =
        [this, Id](const std::function<void(policy::RunOutcome)> &Then) {
          runBelow(Id, Then);
        };
  m_Target.call(std::move(Request));
}

void Hop::runBelow(std::uint64_t Id,
                   const std::function<void(policy::RunOutcome)> &Then) {
  auto Found = m_Forwards.find(Id);
  if (Found == m_Forwards.end())
    return;
  Work Below = Found->second.m_Work;
  ++Below.m_Step;
  auto GiveUp = submit(Below, [this, Id, Then](const Ending &End) {
    if (End.m_IsSuccess) {
      Then(policy::RunOutcome::Success);
      return;
    }
    auto Own = m_Forwards.find(Id);
    if (Own != m_Forwards.end())
      Own->second.m_IsRefusedBelow = true;
    Then(policy::RunOutcome::DownstreamRefused);
  });
  Found = m_Forwards.find(Id);
  if (Found != m_Forwards.end())
    Found->second.m_GiveUpBelow = std::move(GiveUp);
}

void Hop::onRun(std::uint64_t Id, policy::RunOutcome Outcome) {
  auto Found = m_Forwards.find(Id);
  if (Found == m_Forwards.end())
    return;
  absl::Time Now = m_Site.m_Events.now();
  Ending End;
  End.m_IsSuccess = Outcome == policy::RunOutcome::Success;
  End.m_Ran = model::Ran::Yes;
  End.m_IsDownstreamFailure = Found->second.m_IsRefusedBelow;
  if (Outcome == policy::RunOutcome::ConnectionLost) {
    End.m_Ran = model::Ran::Unknown;
    End.m_Reason = model::RefusalReason::OutcomeUnknown;
  }
  ++m_Site.m_Ends[m_Service][static_cast<std::size_t>(Outcome)];
  m_Gate.finish(Id, Outcome, Now - Found->second.m_Began, Now);
  answer(Id, End);
  pump();
}

void Hop::answer(std::uint64_t Id, const Ending &End) {
  auto Found = m_Forwards.find(Id);
  if (Found == m_Forwards.end())
    return;
  Forward Own = std::move(Found->second);
  m_Forwards.erase(Found);
  absl::Time Now = m_Site.m_Events.now();
  Own.m_Answer(End, m_Gate.load(Now, Own.m_Work.m_Customer));
}

void Hop::pump() {
  absl::Time Now = m_Site.m_Events.now();
  m_Run.clear();
  m_Refused.clear();
  m_Gate.poll(Now, m_Run, m_Refused);
  std::vector<policy::TicketId> Run = m_Run;
  std::vector<policy::AdmissionRefusal> Refused = m_Refused;
  for (policy::TicketId Id : Run)
    run(Id);
  for (const policy::AdmissionRefusal &One : Refused)
    answer(One.m_Id, {.m_Reason = One.m_Reason, .m_Ran = model::Ran::No});
  absl::Time Next = m_Gate.nextEvent();
  if (Next >= m_PumpAt)
    return;
  m_PumpAt = Next;
  m_Site.m_Events.at(Next, [this] {
    m_PumpAt = absl::InfiniteFuture();
    pump();
  });
}

} // namespace knapweedloft::faults
