#ifndef KNAPWEEDLOFT_POLICY_ADMISSIONIMPL_H
#define KNAPWEEDLOFT_POLICY_ADMISSIONIMPL_H

#include "policy/Admission.h"
#include "policy/ConcurrencyLimit.h"
#include "policy/FairQueue.h"
#include "policy/LowLatencyQuantile.h"
#include "policy/RestartDetector.h"
#include "policy/ShedController.h"

#include "absl/container/flat_hash_map.h"

#include <cstdint>
#include <vector>

namespace knapweedloft::policy {

/// Combines the concurrency limit, queue, load shedding and restart detection
/// of one target.
class Admission::Impl {
public:
  Impl(const Options &Settings, absl::Time Now);

  AdmissionDecision offer(const Ticket &Request, absl::Time Now);
  void finish(TicketId Id, RunOutcome Outcome, absl::Duration Latency,
              absl::Time Now);
  bool cancel(TicketId Id);
  void poll(absl::Time Now, std::vector<TicketId> &Run,
            std::vector<AdmissionRefusal> &Refused);
  [[nodiscard]] absl::Time nextEvent() const;
  void restart(absl::Time Now);
  [[nodiscard]] AdmissionLoad load(float ShedLevel) const;
  [[nodiscard]] float meanLevel() const;
  [[nodiscard]] float levelOf(std::uint32_t Customer) const;

private:
  /// Marks a running ticket in m_Tickets, instead of a queue position.
  static constexpr FairQueue::Position Running = UINT32_MAX;

  [[nodiscard]] double limit() const;
  [[nodiscard]] bool hasSlot() const { return m_Running < limit(); }
  [[nodiscard]] absl::Duration maxWait() const;
  [[nodiscard]] bool cannotMeetDeadline(const Ticket &Request,
                                        absl::Time Now) const;
  [[nodiscard]] AdmissionDecision refuse(model::RefusalReason Reason,
                                         TicketId Id) const;
  void start(TicketId Id, absl::Time Now);
  [[nodiscard]] bool evictIfFull(const Ticket &Request);
  void drop(FairQueue::Position At, model::RefusalReason Reason);
  void startQueued(absl::Time Now, std::vector<TicketId> &Run);
  void dropExpired(absl::Time Now);
  void dropExpiredOf(FlowId Flow, absl::Time Now);
  void tick(absl::Time Now);
  [[nodiscard]] bool isInactive() const;

  Options m_Settings;
  ConcurrencyLimit m_Limit;
  FairQueue m_Queue;
  ShedController m_ShedController;
  LowLatencyQuantile m_LowLatency;
  RestartDetector m_RestartDetector;
  absl::flat_hash_map<TicketId, FairQueue::Position> m_Tickets;
  std::vector<AdmissionRefusal> m_Dropped;
  /// Flows that dropped a ticket because of its wait, in this interval.
  std::vector<FlowId> m_TimedOutFlows;
  std::uint32_t m_Running = 0;
  absl::Time m_NextTick;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_ADMISSIONIMPL_H
