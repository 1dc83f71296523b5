#include "DaemonImpl.h"

#include "app/Clock.h"
#include "state/RecordCodec.h"

#include <memory>
#include <utility>
#include <variant>

namespace knapweedloft::app {
namespace {

/// How long a record of the daemon's own is tried to be appended. Whoever wants
/// it appended looks at the state and asks again.
constexpr absl::Duration AppendTime = absl::Seconds(2);

} // namespace

void Daemon::Impl::makeControl() {
  auto Send = [this](const std::string &Name,
                     link::wire::MessageUnion Message) {
    return sendTo(Name, std::move(Message));
  };
  m_Self.m_Link = m_Links->endpoint();
  m_Spread = std::make_unique<Spread>(
      Spread::Options{
          .m_Self = m_Self,
          .m_Freshness = {.m_Bound = m_Settings.m_Freshness.m_IsolatedAfter}},
      m_Replica, m_Random, Spread::Hooks{.m_Send = Send});
  Membership::Hooks Members;
  Members.m_Send = Send;
  Members.m_Connect = [this](const model::Member &Peer) {
    m_Peers->want(Peer, monotonicNow());
  };
  Members.m_Append = [this](state::Entry Entry) {
    // The service is known only once the target has announced itself.
    if (auto *Join = std::get_if<state::Join>(&Entry))
      Join->m_Member = m_Self;
    append(std::move(Entry));
  };
  Members.m_IsFresh = [this](absl::Time Now) {
    return m_Spread->freshness(Now) == policy::Freshness::Fresh;
  };
  m_Members = std::make_unique<Membership>(
      Membership::Options{.m_Self = m_Self}, m_Random, std::move(Members));
  makeRates();
}

void Daemon::Impl::makeRates() {
  RateService::Hooks Hooks;
  Hooks.m_SendAsk = [this](const std::string &Name, wire::GrantAskT Ask) {
    return sendTo(Name, std::move(Ask));
  };
  Hooks.m_SendGrant = [this](const std::string &Name, wire::GrantT Grant) {
    return sendTo(Name, std::move(Grant));
  };
  Hooks.m_Post = [this](std::function<void(absl::Time)> Task,
                        absl::Duration Delay) {
    m_Links->post([Task = std::move(Task)] { Task(monotonicNow()); }, Delay);
  };
  Hooks.m_Claim = [this](state::KeeperClaim Claim) {
    append(std::move(Claim));
  };
  Hooks.m_MayKeep = [this](absl::Time Now) {
    return m_Spread->mayHoldLease(Now);
  };
  Hooks.m_IsAlive = [this](const std::string &Name) {
    return m_Members->isAlive(Name);
  };
  m_Rates =
      std::make_unique<RateService>(RateService::Options{.m_Self = m_Self},
                                    m_Replica.store(), std::move(Hooks));
}

void Daemon::Impl::append(state::Entry Entry) {
  state::Record Record{.m_Written = wallNow(), .m_Entry = std::move(Entry)};
  m_Appender->append({.m_Payload = state::encodeRecord(Record),
                      .m_Deadline = monotonicNow() + AppendTime});
}

} // namespace knapweedloft::app
