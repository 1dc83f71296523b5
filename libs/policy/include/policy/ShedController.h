#ifndef KNAPWEEDLOFT_POLICY_SHEDCONTROLLER_H
#define KNAPWEEDLOFT_POLICY_SHEDCONTROLLER_H

#include "model/Priority.h"

#include "absl/time/time.h"

#include <array>
#include <cstdint>
#include <vector>

namespace knapweedloft::policy {

/// Computes the share of each flow that entry sides are to refuse from its
/// queue wait. A flow is the tickets of one customer and priority.
///
/// One proportional-integral controller per flow, after PIE (Pan et al., HPSR
/// 2013) and its fair form FQ-PIE: the share rises while the flow waits longer
/// than a target wait and falls otherwise. A customer below its share does not
/// wait and so is not shed. Not thread-safe.
class ShedController {
public:
  /// Time between two updates of a flow.
  static constexpr absl::Duration Interval = absl::Milliseconds(20);

  /// \p Flow is customer times PriorityCount plus priority.
  void onArrival(std::uint32_t Flow);

  /// Updates the share of one flow, whose oldest ticket has waited \p Wait,
  /// with the target wait \p Target. \p IsIdle: the target has free slots.
  void update(std::uint32_t Flow, absl::Duration Wait, absl::Duration Target,
              bool IsIdle);

  /// Ends an interval, after all flows have been updated.
  void endInterval();

  /// \returns the shed level of a customer, 0 to PriorityCount.
  [[nodiscard]] float levelOf(std::uint32_t Customer) const;

  /// \returns the mean level over all customers, weighted by arrivals.
  [[nodiscard]] float meanLevel() const { return m_MeanLevel; }

  [[nodiscard]] float shareOf(std::uint32_t Flow) const;
  /// \returns whether any flow is shed.
  [[nodiscard]] bool isActive() const { return m_IsActive; }
  [[nodiscard]] std::size_t flowCount() const { return m_Flows.size(); }

private:
  struct State {
    float m_Share = 0;
    float m_LastWait = 0;     ///< In units of the target wait.
    float m_Arrivals = 0;     ///< In this interval.
    float m_MeanArrivals = 0; ///< Per interval, smoothed.
  };

  State &at(std::uint32_t Flow);

  std::vector<State> m_Flows;
  float m_MeanLevel = 0;
  bool m_IsActive = false;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_SHEDCONTROLLER_H
