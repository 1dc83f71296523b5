#ifndef KNAPWEEDLOFT_FAKEFLEET_RATEPROBE_H
#define KNAPWEEDLOFT_FAKEFLEET_RATEPROBE_H

#include "fakefleet/FakeFleet.h"

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
  /// Refused although one bucket for the whole fleet had held a token.
  std::uint64_t m_Wrong = 0;
};

/// Calls as a customer on a fake fleet, plays the target side, and compares
/// what was let through with one bucket for the whole fleet.
class RateProbe {
public:
  RateProbe(FakeFleet &Fleet, std::string Customer, double PerSecond,
            double Burst);

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
  void arrive(const std::string &From, const std::string &To,
              const app::RateDecision &Decision, absl::Time TakenAt);
  bool takeIdeal();

  FakeFleet &m_Fleet;
  std::string m_Customer;
  double m_PerSecond;
  double m_Burst;
  double m_Ideal; ///< Tokens of one bucket for the whole fleet.
  absl::Time m_IdealAt;
  RateTally m_Tally;
  std::vector<absl::Time> m_Accepted;
};

} // namespace knapweedloft::fakefleet

#endif // KNAPWEEDLOFT_FAKEFLEET_RATEPROBE_H
