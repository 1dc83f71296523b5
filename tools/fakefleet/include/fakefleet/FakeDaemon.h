#ifndef KNAPWEEDLOFT_FAKEFLEET_FAKEDAEMON_H
#define KNAPWEEDLOFT_FAKEFLEET_FAKEDAEMON_H

#include "app/Membership.h"
#include "app/RateService.h"
#include "app/Spread.h"
#include "state/StateReplica.h"

#include "absl/time/time.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace knapweedloft::fakefleet {

class FakeFleet;

/// One daemon of a FakeFleet: the components of libs/app and fake links.
class FakeDaemon {
public:
  FakeDaemon(FakeFleet &Fleet, model::Member Self, double Drift,
             absl::Duration ClockOffset);

  /// \returns this daemon's monotonic clock.
  [[nodiscard]] absl::Time clock() const;

  /// Runs \p Task on this daemon: at once, or when its pause is over; never if
  /// it has crashed by then.
  void onDaemon(std::function<void()> Task);

  void start();
  void crash() { m_IsUp = false; }
  void pauseUntil(absl::Time When) { m_PausedUntil = When; }
  [[nodiscard]] bool isUp() const { return m_IsUp; }
  [[nodiscard]] bool isPaused() const;

  void onLinkUp(const model::Member &Peer);
  void onLinkDown(const std::string &Peer);
  void onMessage(const policy::PeerIncarnation &From,
                 const link::wire::MessageUnion &Message);
  [[nodiscard]] bool hasLink(const std::string &Peer,
                             model::Incarnation Life) const;
  [[nodiscard]] std::size_t linkCount() const { return m_Links.size(); }

  [[nodiscard]] const model::Member &self() const { return m_Self; }
  [[nodiscard]] state::StateReplica &replica() { return m_Replica; }
  [[nodiscard]] app::RateService &rates() { return *m_Rates; }
  [[nodiscard]] app::Membership &members() { return *m_Members; }
  [[nodiscard]] app::Spread &spread() { return *m_Spread; }
  /// \returns whether this end has use for the link.
  [[nodiscard]] bool wants(const std::string &Peer) const;
  [[nodiscard]] std::uint64_t bytesSent() const { return m_BytesSent; }
  void countBytes(std::uint64_t Bytes) { m_BytesSent += Bytes; }
  void setLogReach(bool IsReached) { m_ReachesLog = IsReached; }
  [[nodiscard]] bool reachesLog() const { return m_ReachesLog; }
  [[nodiscard]] std::uint64_t logReads() const { return m_LogReads; }

private:
  struct Link {
    model::Incarnation m_Life = 0;
    absl::Time m_HeardAt;
    absl::Time m_WantedAt; ///< Last, by this end.
  };

  void every(absl::Duration Interval, const std::function<void()> &Task);
  void tick();
  void beat();
  void reconcile();
  void dropUnwanted();
  void readLog();
  void takeRead(absl::Time SentAt);
  void advance();
  bool send(const std::string &To, link::wire::MessageUnion Message);

  FakeFleet &m_Fleet;
  model::Member m_Self;
  double m_Drift;
  absl::Duration m_ClockOffset;
  std::mt19937_64 m_Random;
  bool m_IsUp = true;
  bool m_ReachesLog = true;
  bool m_IsReading = false;
  absl::Time m_PausedUntil = absl::InfinitePast();
  absl::Time m_UnavailableSince = absl::InfinitePast();
  model::LogOffset m_End = 0;
  std::uint64_t m_LogReads = 0;
  std::uint64_t m_BytesSent = 0;
  std::map<std::string, Link> m_Links;
  std::map<std::string, absl::Time> m_Wanted; ///< Until when, beyond the rest.
  state::StateReplica m_Replica;
  std::unique_ptr<app::Membership> m_Members;
  std::unique_ptr<app::Spread> m_Spread;
  std::unique_ptr<app::RateService> m_Rates;
};

} // namespace knapweedloft::fakefleet

#endif // KNAPWEEDLOFT_FAKEFLEET_FAKEDAEMON_H
