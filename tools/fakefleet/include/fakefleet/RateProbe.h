#ifndef KNAPWEEDLOFT_FAKEFLEET_RATEPROBE_H
#define KNAPWEEDLOFT_FAKEFLEET_RATEPROBE_H

#include "fakefleet/FakeFleet.h"

#include "policy/TokenBucket.h"

#include "absl/time/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace knapweedloft::fakefleet {

/// What became of the calls of a customer.
struct RateTally {
  std::uint64_t m_Calls = 0;
  std::uint64_t m_Granted = 0;
  std::uint64_t m_OverRate = 0;
  std::uint64_t m_KeeperAway = 0;
  std::uint64_t m_Stale = 0; ///< Granted, then refused by the target side.
  /// Refused while the customer was inside its rate and burst: one bucket for
  /// the whole fleet that had let the same calls through held a token.
  std::uint64_t m_Wrong = 0;
  /// Refused where one bucket for the whole fleet, fed with all calls, did not.
  std::uint64_t m_BesideIdeal = 0;
  std::uint64_t m_IdealRefused = 0; ///< By that bucket.
};

/// Calls as a customer on a fake fleet, plays the target side, and compares
/// what was let through with one bucket for the whole fleet.
class RateProbe {
public:
  RateProbe(FakeFleet &Fleet, std::string Customer, double PerSecond,
            double Burst);

  /// Forwards only to the daemon itself or a linked one; otherwise to any, and
  /// one without a link refuses.
  void setLinkedTargets(bool IsSo) { m_HasLinkedTargets = IsSo; }

  /// A call arrives at \p Name. \p Clock is that daemon's clock as its caller
  /// thread read it.
  void call(const std::string &Name, absl::Time Clock);
  void call(const std::string &Name);

  /// \returns the most tokens by which any window went past rate and burst,
  /// by the times at which accepted calls took their tokens. \p Slack is the
  /// share by which the keepers' clocks may run fast.
  [[nodiscard]] double overshoot(double Slack) const;

  [[nodiscard]] const RateTally &tally() const { return m_Tally; }
  void resetTally() { m_Tally = {}; }

private:
  void onDecision(const std::string &Name, bool IsWithinIdeal,
                  const app::RateDecision &Decision);
  /// \returns a daemon to which \p Name may forward: itself or a linked one.
  std::string anyTargetOf(const std::string &Name);
  void arrive(const std::string &From, const std::string &To,
              const app::RateDecision &Decision, absl::Time TakenAt);
  void refuse(const app::RateDecision &Decision, bool IsWithinIdeal);

  FakeFleet &m_Fleet;
  std::string m_Customer;
  policy::TokenBucket::Options m_Limits;
  policy::TokenBucket m_Ideal; ///< Charged for every call.
  policy::TokenBucket m_Used;  ///< Charged for what was granted.
  RateTally m_Tally;
  bool m_HasLinkedTargets = false;
  std::vector<absl::Time> m_Accepted;
};

} // namespace knapweedloft::fakefleet

#endif // KNAPWEEDLOFT_FAKEFLEET_RATEPROBE_H
