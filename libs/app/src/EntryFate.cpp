#include "app/EntrySide.h"

#include "app/DedupeHome.h"
#include "app/KeyHomes.h"

#include <utility>

namespace knapweedloft::app {
namespace {

using model::Ran;
using model::RefusalReason;

/// When to come back after an outcome that could not be learned.
constexpr absl::Duration UnknownRetryAfter = absl::Seconds(1);

policy::ForwardStatus fromWire(wire::Fate Fate) {
  switch (Fate) {
  case wire::Fate::NotRun:
    return policy::ForwardStatus::NotRun;
  case wire::Fate::Running:
    return policy::ForwardStatus::Running;
  case wire::Fate::Finished:
    return policy::ForwardStatus::Finished;
  default:
    return policy::ForwardStatus::Unknown;
  }
}

} // namespace

void EntrySide::dispatchHome(PendingId Id, Pending &Next, EntryService &Service,
                             absl::Time Now) {
  std::string Name = DedupeHome::nameOf(Next.m_Request.m_Customer,
                                        Next.m_Request.m_IdempotencyKey);
  std::vector<model::Member> Homes;
  {
    state::SnapshotStore::ReadGuard State(m_Store);
    Homes = homesOf(Name, Next.m_Request.m_Route.m_Service, *State,
                    m_Options.m_Hooks.m_IsAlive, 1);
  }
  std::optional<policy::TargetHandle> Target;
  if (!Homes.empty())
    Target = Service.m_Chooser.find(Homes[0].m_Incarnation);
  if (!Target) {
    end(Id,
        {.m_Reason = RefusalReason::NoTarget,
         .m_RetryAfter = UnknownRetryAfter},
        Now);
    return;
  }
  if (!forward(Id, Next, Service, *Target, Now))
    park(Id, Next, Service, Now);
}

void EntrySide::onPeerDown(const model::Member &Who, absl::Time Now) {
  std::vector<PendingId> Lost;
  for (const auto &[Id, Held] : m_Pending)
    if (Held.isAtTarget() && Held.m_To.m_Incarnation == Who.m_Incarnation)
      Lost.push_back(Id);
  for (PendingId Id : Lost) {
    auto Found = m_Pending.find(Id);
    if (Found != m_Pending.end())
      loseLink(Id, Found->second, Now);
  }
}

void EntrySide::loseLink(PendingId Id, Pending &Held, absl::Time Now) {
  if (Held.m_Fate) {
    Held.m_Fate->onLinkDown(Now);
  } else {
    policy::ForwardStatusResolver::Options Options = m_Options.m_Fate;
    if (Held.m_Request.m_Route.m_IsIdempotent)
      Options.m_LinkWait = m_Options.m_IdempotentLinkWait;
    Held.m_Fate.emplace(Options, Held.m_Request.m_Deadline, Now);
    Held.m_Stage = Stage::Asking;
    serviceOf(Held.m_Request.m_Route.m_Service, Now)
        .m_Chooser.onLost(Held.m_Target, Now);
  }
  resolve(Id, Now);
}

void EntrySide::onStatus(const wire::FateAnswerT &Answer, absl::Time Now) {
  if (Answer.id.entry() != m_Options.m_Self.m_Incarnation)
    return;
  auto Found = m_BySequence.find(Answer.id.sequence());
  if (Found == m_BySequence.end())
    return;
  PendingId Id = Found->second;
  Pending &Held = m_Pending.at(Id);
  if (!Held.m_Fate)
    return;
  Held.m_Fate->onStatus(fromWire(Answer.fate));
  resolve(Id, Now);
}

void EntrySide::resolveAll(const model::Member &Who, absl::Time Now) {
  std::vector<PendingId> Asking;
  for (auto &[Id, Held] : m_Pending) {
    if (!Held.m_Fate || Held.m_To.m_Name != Who.m_Name)
      continue;
    if (Held.m_To.m_Incarnation != Who.m_Incarnation)
      Held.m_Fate->onReplaced();
    Asking.push_back(Id);
  }
  for (PendingId Id : Asking)
    resolve(Id, Now);
}

void EntrySide::resolve(PendingId Id, absl::Time Now) {
  auto Found = m_Pending.find(Id);
  if (Found == m_Pending.end() || !Found->second.m_Fate)
    return;
  Pending &Held = Found->second;
  switch (Held.m_Fate->next(m_Options.m_Hooks.m_IsLinked(Held.m_To), Now)) {
  case policy::ResolverStep::Ask:
    if (!ask(Held))
      m_Options.m_Hooks.m_WantLink(Held.m_To);
    break;
  case policy::ResolverStep::OpenLink:
    m_Options.m_Hooks.m_WantLink(Held.m_To);
    break;
  case policy::ResolverStep::Wait:
    break;
  case policy::ResolverStep::NotRun:
    retryNotRun(Id, Held, Now);
    return;
  case policy::ResolverStep::Unknown:
    endUnknown(Id, Held, Now);
    return;
  }
  setAlarm(Id, Held.m_Fate->wakeAt());
}

bool EntrySide::ask(const Pending &Held) {
  wire::FateQueryT Query;
  Query.id = {m_Options.m_Self.m_Incarnation, Held.m_Sequence};
  Query.to_incarnation = Held.m_To.m_Incarnation;
  return m_Options.m_Hooks.m_Query(Held.m_To, std::move(Query));
}

void EntrySide::endUnknown(PendingId Id, Pending &Held, absl::Time Now) {
  m_BySequence.erase(Held.m_Sequence);
  Held.m_Fate.reset();
  onRefused(Id,
            {.m_Reason = RefusalReason::OutcomeUnknown,
             .m_Ran = Ran::Unknown,
             .m_RetryAfter = UnknownRetryAfter},
            Now);
}

void EntrySide::retryNotRun(PendingId Id, Pending &Held, absl::Time Now) {
  m_BySequence.erase(Held.m_Sequence);
  Held.m_Fate.reset();
  attemptsOf(Held).refund(Held.m_HandedOver);
  onRefused(Id,
            {.m_Reason = RefusalReason::NoTarget,
             .m_Ran = Ran::No,
             .m_RetryAfter = UnknownRetryAfter},
            Now);
}

} // namespace knapweedloft::app
