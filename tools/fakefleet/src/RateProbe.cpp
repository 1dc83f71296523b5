#include "fakefleet/RateProbe.h"

#include "fakefleet/FakeDaemon.h"
#include "policy/GrantLifetime.h"
#include "policy/RateShard.h"

#include <algorithm>
#include <utility>

namespace knapweedloft::fakefleet {
namespace {

constexpr absl::Duration MaxWait = absl::Milliseconds(500);

} // namespace

RateProbe::RateProbe(FakeFleet &Fleet, std::string Customer, double PerSecond,
                     double Burst)
    : m_Fleet(Fleet),
      m_Customer(std::move(Customer)), m_Limits{PerSecond, Burst},
      m_Ideal(m_Limits, absl::InfinitePast()),
      m_Used(m_Limits, absl::InfinitePast()) {}

void RateProbe::call(const std::string &Name, absl::Time Clock) {
  if (!m_Fleet.isUp(Name))
    return;
  ++m_Tally.m_Calls;
  bool IsWithinIdeal = m_Ideal.tryTake(1, m_Fleet.now());
  m_Tally.m_IdealRefused += IsWithinIdeal ? 0 : 1;
  // Keyed routes are refused on a state that cannot be trusted.
  if (!m_Fleet.daemon(Name).spread().isTrusted(Clock))
    return onDecision(Name, IsWithinIdeal, {.m_IsKeeperAway = true});
  m_Fleet.daemon(Name).rates().acquire(
      m_Customer, Clock, MaxWait,
      [this, Name, IsWithinIdeal](const app::RateDecision &Decision) {
        onDecision(Name, IsWithinIdeal, Decision);
      });
}

void RateProbe::call(const std::string &Name) {
  if (m_Fleet.isUp(Name) && !m_Fleet.daemon(Name).isPaused())
    call(Name, m_Fleet.daemon(Name).clock());
}

double RateProbe::overshoot(double Slack) const {
  std::vector<absl::Time> Times = m_Accepted;
  std::sort(Times.begin(), Times.end());
  double Level = m_Limits.m_Burst;
  double Worst = 0;
  absl::Time Last = absl::InfinitePast();
  for (absl::Time Taken : Times) {
    if (Last != absl::InfinitePast())
      Level += absl::ToDoubleSeconds(Taken - Last) * m_Limits.m_RatePerSecond *
               (1 + Slack);
    Level = std::min(Level, m_Limits.m_Burst) - 1;
    Last = Taken;
    Worst = std::max(Worst, -Level);
  }
  return Worst;
}

void RateProbe::onDecision(const std::string &Name, bool IsWithinIdeal,
                           const app::RateDecision &Decision) {
  if (!Decision.m_IsGranted)
    return refuse(Decision, IsWithinIdeal);
  // Past what it holds there is overshoot, which overshoot() tells.
  (void)m_Used.tryTake(1, m_Fleet.now());
  std::string Target = anyTargetOf(Name);
  absl::Duration Way =
      m_Fleet.options().m_MostLatency *
      std::uniform_real_distribution<double>(0.5, 1)(m_Fleet.random());
  absl::Time TakenAt = m_Fleet.now();
  m_Fleet.queue().after(Way, [this, Name, Target, Decision, TakenAt] {
    m_Fleet.daemon(Target).onDaemon([this, Name, Target, Decision, TakenAt] {
      arrive(Name, Target, Decision, TakenAt);
    });
  });
}

std::string RateProbe::anyTargetOf(const std::string &Name) {
  std::vector<std::string> Names = m_Fleet.names();
  model::Incarnation Life = m_Fleet.daemon(Name).self().m_Incarnation;
  std::erase_if(Names, [&](const std::string &Other) {
    return m_HasLinkedTargets && Other != Name &&
           !m_Fleet.daemon(Other).hasLink(Name, Life);
  });
  return Names[m_Fleet.random()() % Names.size()];
}

void RateProbe::arrive(const std::string &From, const std::string &To,
                       const app::RateDecision &Decision, absl::Time TakenAt) {
  FakeDaemon &Target = m_Fleet.daemon(To);
  absl::Time SenderNow = From == To
                             ? Target.clock()
                             : Target.spread().peerNow(From, Target.clock());
  std::uint64_t KnownEpoch = Target.replica()
                                 .store()
                                 .share()
                                 ->keeperOf(policy::rateShardOf(m_Customer))
                                 .m_Epoch;
  bool IsStale = policy::isStaleGrant({Decision.m_Epoch, Decision.m_Expires},
                                      KnownEpoch, SenderNow);
  if (IsStale) {
    ++m_Tally.m_Stale;
    return;
  }
  ++m_Tally.m_Granted;
  m_Accepted.push_back(TakenAt);
}

void RateProbe::refuse(const app::RateDecision &Decision, bool IsWithinIdeal) {
  ++(Decision.m_IsKeeperAway ? m_Tally.m_KeeperAway : m_Tally.m_OverRate);
  m_Tally.m_Wrong += m_Used.level(m_Fleet.now()) >= 1 ? 1 : 0;
  m_Tally.m_BesideIdeal += IsWithinIdeal ? 1 : 0;
}

} // namespace knapweedloft::fakefleet
