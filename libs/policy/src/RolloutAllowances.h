#ifndef KNAPWEEDLOFT_POLICY_ROLLOUTALLOWANCES_H
#define KNAPWEEDLOFT_POLICY_ROLLOUTALLOWANCES_H

#include "policy/RolloutSample.h"

#include "absl/container/btree_map.h"
#include "absl/time/time.h"

#include <cstdint>
#include <deque>
#include <string>
#include <utility>
#include <vector>

namespace knapweedloft::policy {

/// Splits the number of requests that a new version may get in all among its
/// targets, and counts the requests of the service.
///
/// What a target was allowed once stays reserved for it, also when its daemon
/// is lost: it may have taken all of it. So the sum holds whatever fails. A
/// target is thus allowed only little more than it has taken. Not thread-safe.
class RolloutAllowances {
public:
  /// A daemon that is silent for longer gets no allowance: it may have
  /// restarted, and would count from 0.
  static constexpr absl::Duration MaxSilence = absl::Seconds(1);

  explicit RolloutAllowances(std::string NewVersion)
      : m_NewVersion(std::move(NewVersion)) {}

  void onSample(const RolloutSample &Sample, absl::Time Now);
  void onDaemonLost(const std::string &Daemon);

  /// \returns the requests that are known to have reached the service.
  [[nodiscard]] double arrivals() const;
  /// \returns those of the last second, per second.
  [[nodiscard]] double arrivalRate(absl::Time Now) const;
  /// \returns the requests that the new version got, or may still get from what
  /// targets were allowed that no longer count.
  [[nodiscard]] double taken() const;

  /// Lets the open targets of the new version have together about \p Ahead
  /// requests more than they have taken, as far as the sum of all allowances
  /// stays within \p Budget.
  void raise(double Budget, double Ahead, absl::Time Now);
  [[nodiscard]] absl::btree_map<std::string, std::uint64_t>
  current(absl::Time Now) const;

private:
  struct Target {
    model::Incarnation m_Incarnation = 0;
    std::string m_Instance;
    bool m_IsNew = false;
    bool m_IsOpen = false;
    bool m_IsLost = false;
    absl::Time m_HeardAt;
    std::uint64_t m_Arrivals = 0;
    std::uint64_t m_Allowance = 0;
    double m_Recent = 0; ///< Arrivals lately, fading with each sample.

    [[nodiscard]] std::uint64_t reserved() const;
  };

  struct Need {
    Target *m_Target = nullptr;
    double m_Requests = 0;
  };

  [[nodiscard]] static bool isSameLife(const Target &Known,
                                       const RolloutSample &Sample);
  void endLife(const Target &Ended);
  [[nodiscard]] double reserved() const;
  [[nodiscard]] std::vector<Need> needs(double Ahead, absl::Time Now);
  [[nodiscard]] static bool isServed(const Target &Of, absl::Time Now);

  std::string m_NewVersion;
  absl::btree_map<std::string, Target> m_Targets; ///< By name of the daemon.
  double m_EndedArrivals = 0;                     ///< Of former lives.
  double m_EndedReserved = 0; ///< Likewise, at targets of the new version.
  std::deque<std::pair<absl::Time, double>> m_Lately; ///< Arrivals by sample.
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_ROLLOUTALLOWANCES_H
