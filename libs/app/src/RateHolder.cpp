#include "RateHolder.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace knapweedloft::app {
namespace {

/// What a caller is told to wait while no keeper grants.
constexpr absl::Duration NoKeeperRetry = absl::Milliseconds(500);

RateDecision granted(const policy::TakenToken &Token) {
  return {.m_IsGranted = true,
          .m_Epoch = Token.m_Epoch,
          .m_Expires = Token.m_Expires};
}

RateDecision refused(absl::Duration RetryAfter, bool IsKeeperAway) {
  return {.m_RetryAfter = RetryAfter, .m_IsKeeperAway = IsKeeperAway};
}

} // namespace

RateHolder::RateHolder(const Options &Settings,
                       const state::SnapshotStore &Store, Hooks Surroundings)
    : m_Table(Settings.m_Allotment), m_MaxWaiting(Settings.m_MaxWaiting),
      m_Patience(Settings.m_Patience), m_Store(Store),
      m_Hooks(std::move(Surroundings)) {}

void RateHolder::acquire(const std::string &Customer, absl::Time Now,
                         absl::Duration MaxWait,
                         std::function<void(const RateDecision &)> Done) {
  if (!state::SnapshotStore::ReadGuard(m_Store)->findRate(Customer))
    return Done({.m_IsGranted = true});
  RateHandle Handle = m_Table.find(Customer);
  if (!Handle.isValid())
    return Done(refused(NoKeeperRetry, true));
  RateEntry &Entry = m_Table.at(Handle);
  absl::Time DryUntil = Entry.dryUntil();
  if (std::optional<policy::TakenToken> Token = Entry.m_Held.take(Now)) {
    if (Entry.m_Held.isLow() && Now >= DryUntil)
      postAsk(Handle);
    return Done(granted(*Token));
  }
  if (Now >= DryUntil) {
    if (wait(Entry, m_MaxWaiting, {Now, Now + MaxWait, std::move(Done)}))
      postAsk(Handle);
    return;
  }
  // The ask that follows at DryUntil serves those that wait.
  bool IsPatient = DryUntil - Now <= std::min(m_Patience, MaxWait);
  std::size_t Most = IsPatient ? Entry.m_PatientCalls.load() : 0;
  wait(Entry, Most, {Now, Now + MaxWait, std::move(Done)});
}

void RateHolder::onGrant(const link::wire::GrantT &Grant, absl::Time Now) {
  RateHandle Handle = m_Table.find(Grant.customer);
  if (!Handle.isValid())
    return;
  RateEntry &Entry = m_Table.at(Handle);
  policy::TokenGrant Given{.m_Sequence = Grant.sequence,
                           .m_Tokens = Grant.tokens,
                           .m_Lifetime = absl::Microseconds(Grant.lifetime_us),
                           .m_RetryAfter =
                               absl::Microseconds(Grant.retry_after_us)};
  if (!Entry.m_Held.onGrant(Grant.epoch, Given, Now))
    return;
  Entry.m_IsAskDue.store(false);
  serveWaiting(Entry, Now);
  if (Given.m_RetryAfter > absl::ZeroDuration())
    return onShort(Handle, Given, Grant.lifetime_us == 0, Now);
  if (waitingCount(Entry) > 0)
    startAsk(Handle, Now);
}

void RateHolder::onShort(RateHandle Handle, const policy::TokenGrant &Given,
                         bool IsKeeperAway, absl::Time Now) {
  RateEntry &Entry = m_Table.at(Handle);
  std::size_t Patient = 0;
  if (Given.m_RetryAfter <= m_Patience && !IsKeeperAway) {
    Patient = static_cast<std::size_t>(m_Patience / Given.m_RetryAfter);
    m_Hooks.m_Post(
        [this, Handle](absl::Time Then) {
          if (waitingCount(m_Table.at(Handle)) > 0)
            startAsk(Handle, Then);
        },
        Given.m_RetryAfter);
  }
  Entry.m_IsKeeperAway.store(IsKeeperAway);
  Entry.m_PatientCalls.store(Patient);
  Entry.m_DryUntilNanos.store(absl::ToUnixNanos(Now + Given.m_RetryAfter));
  refuseWaiting(Entry, Patient, refused(Given.m_RetryAfter, IsKeeperAway));
}

void RateHolder::tick(absl::Time Now) {
  std::size_t Size = m_Table.size();
  for (std::uint32_t Index = 0; Index < Size; ++Index) {
    RateHandle Handle{Index};
    RateEntry &Entry = m_Table.at(Handle);
    Entry.m_Held.tick(Now);
    refuseOverdue(Entry, Now);
    if (Entry.m_Held.isRequestPending(Now))
      continue;
    Entry.m_IsAskDue.store(false);
    if (waitingCount(Entry) > 0)
      startAsk(Handle, Now);
    else if (Entry.m_Held.isIdle(Now))
      giveBack(Entry, Now);
  }
}

void RateHolder::startAsk(RateHandle Handle, absl::Time Now) {
  RateEntry &Entry = m_Table.at(Handle);
  if (Entry.m_Held.isRequestPending(Now))
    return;
  state::SnapshotPtr State = m_Store.share();
  const model::Rate *Limits = State->findRate(Entry.m_Customer);
  state::KeeperRecord Keeper = State->keeperOf(Entry.m_Shard);
  if (!Limits || Keeper.m_Epoch == 0) {
    Entry.m_IsAskDue.store(false);
    return;
  }
  Entry.m_IsAskDue.store(true);
  auto Needed = static_cast<double>(waitingCount(Entry));
  policy::TokenRequest Ask =
      Entry.m_Held.ask(Keeper.m_Epoch, Needed, Limits->m_Burst, Now);
  sendAsk(Entry, Ask, Keeper.m_Name, Keeper.m_Epoch, Now);
}

void RateHolder::postAsk(RateHandle Handle) {
  if (!m_Table.at(Handle).m_IsAskDue.exchange(true))
    m_Hooks.m_Post([this, Handle](absl::Time Now) { startAsk(Handle, Now); },
                   absl::ZeroDuration());
}

bool RateHolder::wait(RateEntry &Entry, std::size_t Most, WaitingCall Call) {
  {
    absl::MutexLock Lock(&Entry.m_Mutex);
    if (Entry.m_Waiting.size() < Most) {
      Entry.m_Waiting.push_back(std::move(Call));
      return true;
    }
  }
  absl::Time DryUntil = Entry.dryUntil();
  absl::Time Now = Call.m_Now;
  if (Now < DryUntil)
    Call.m_Done(refused(DryUntil - Now, Entry.m_IsKeeperAway.load()));
  else
    Call.m_Done(refused(NoKeeperRetry, true));
  return false;
}

void RateHolder::sendAsk(RateEntry &Entry, const policy::TokenRequest &Ask,
                         const std::string &Keeper, std::uint64_t Epoch,
                         absl::Time Now) {
  link::wire::GrantAskT Message;
  Message.customer = Entry.m_Customer;
  Message.epoch = Epoch;
  Message.sequence = Ask.m_Sequence;
  Message.needed = Ask.m_Needed;
  Message.wanted = Ask.m_Wanted;
  Message.held = Ask.m_Held;
  Message.spent = Ask.m_Spent;
  m_Hooks.m_SendAsk(Keeper, std::move(Message), Now);
}

void RateHolder::serveWaiting(RateEntry &Entry, absl::Time Now) {
  std::vector<std::pair<WaitingCall, policy::TakenToken>> Served;
  {
    absl::MutexLock Lock(&Entry.m_Mutex);
    while (!Entry.m_Waiting.empty()) {
      std::optional<policy::TakenToken> Token = Entry.m_Held.take(Now);
      if (!Token)
        break;
      Served.emplace_back(std::move(Entry.m_Waiting.front()), *Token);
      Entry.m_Waiting.pop_front();
    }
  }
  for (auto &[Call, Token] : Served)
    Call.m_Done(granted(Token));
}

void RateHolder::refuseWaiting(RateEntry &Entry, std::size_t Kept,
                               const RateDecision &Refusal) {
  std::vector<WaitingCall> Refused;
  {
    absl::MutexLock Lock(&Entry.m_Mutex);
    while (Entry.m_Waiting.size() > Kept) {
      Refused.push_back(std::move(Entry.m_Waiting.back()));
      Entry.m_Waiting.pop_back();
    }
  }
  for (WaitingCall &Call : Refused)
    Call.m_Done(Refusal);
}

void RateHolder::refuseOverdue(RateEntry &Entry, absl::Time Now) {
  std::vector<WaitingCall> Overdue;
  {
    absl::MutexLock Lock(&Entry.m_Mutex);
    while (!Entry.m_Waiting.empty() && Entry.m_Waiting.front().m_Until <= Now) {
      Overdue.push_back(std::move(Entry.m_Waiting.front()));
      Entry.m_Waiting.pop_front();
    }
  }
  for (WaitingCall &Call : Overdue)
    Call.m_Done(refused(NoKeeperRetry, true));
}

void RateHolder::giveBack(RateEntry &Entry, absl::Time Now) {
  state::KeeperRecord Keeper = m_Store.share()->keeperOf(Entry.m_Shard);
  policy::TokenRequest Ask = Entry.m_Held.giveBack(Keeper.m_Epoch, Now);
  if (Keeper.m_Epoch > 0)
    sendAsk(Entry, Ask, Keeper.m_Name, Keeper.m_Epoch, Now);
}

std::size_t RateHolder::waitingCount(RateEntry &Entry) {
  absl::MutexLock Lock(&Entry.m_Mutex);
  return Entry.m_Waiting.size();
}

} // namespace knapweedloft::app
