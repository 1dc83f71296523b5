#ifndef KNAPWEEDLOFT_POLICY_ADMISSION_H
#define KNAPWEEDLOFT_POLICY_ADMISSION_H

#include "policy/AdmissionDecision.h"
#include "policy/AdmissionLoad.h"
#include "policy/AdmissionOptions.h"
#include "policy/AdmissionRefusal.h"
#include "policy/RunOutcome.h"
#include "policy/Ticket.h"

#include "absl/time/time.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace knapweedloft::policy {

/// Admission control at the target side: decides which requests the target
/// beside this daemon runs, and when.
///
/// Owns the concurrency limit, the fair queue, load shedding and the cold-start
/// ramp of one target. Not thread-safe. Every offered ticket ends in exactly
/// one of these ways: refused at once, refused by poll, cancelled, or run and
/// finished.
///
/// \code
///   AdmissionDecision Decision = Control.offer(Ticket, Now);
///   if (Decision.m_Verdict == Verdict::Run)
///     start(Ticket.m_Id);
///   ...
///   Control.finish(Id, RunOutcome::Success, Latency, Now);
///   Control.poll(Now, Run, Refused); // after each call and at nextEvent()
/// \endcode
class Admission {
public:
  using Options = AdmissionOptions;

  /// \throws PolicyError if a setting is out of range.
  explicit Admission(const Options &Settings, absl::Time Now);
  ~Admission();
  Admission(Admission &&) noexcept;
  Admission &operator=(Admission &&) noexcept;

  /// Offers a new ticket, which runs now, is queued or is refused.
  /// \throws PolicyError if a ticket with this id is running or queued.
  [[nodiscard]] AdmissionDecision offer(const Ticket &Request, absl::Time Now);

  /// Reports that a ticket's run has ended; unknown ids are ignored.
  void finish(TicketId Id, RunOutcome Outcome, absl::Duration Latency,
              absl::Time Now);

  /// Removes a ticket from the queue.
  /// \returns false if it is not queued: it is running or unknown.
  bool cancel(TicketId Id, absl::Time Now);

  /// Removes tickets from the queue. Appends those to run now to \p Run and
  /// those refused to \p Refused.
  void poll(absl::Time Now, std::vector<TicketId> &Run,
            std::vector<AdmissionRefusal> &Refused);

  /// \returns the time at which poll is due if no other call comes first.
  [[nodiscard]] absl::Time nextEvent() const;

  /// Reports that the target has restarted, which begins its cold start.
  void restart(absl::Time Now);

  /// \returns the load with the mean shed level over all customers.
  [[nodiscard]] AdmissionLoad load(absl::Time Now) const;

  /// \returns the load with the shed level of one customer, to be sent with
  /// the answers to its requests.
  [[nodiscard]] AdmissionLoad load(absl::Time Now,
                                   std::uint32_t Customer) const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_ADMISSION_H
