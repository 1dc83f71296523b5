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

/// Decides which requests the target beside this daemon runs, and when.
///
/// Owns the concurrency limit, the fair queue, shedding and the cold-start
/// ramp of one target. Not thread-safe. Every offered ticket ends in exactly
/// one of: refused at once, refused by poll, cancelled, or run and finished.
///
/// \code
///   AdmissionDecision Decision = Gate.offer(Ticket, Now);
///   if (Decision.m_Verdict == Verdict::Run)
///     start(Ticket.m_Id);
///   ...
///   Gate.finish(Id, RunOutcome::Success, Latency, Now);
///   Gate.poll(Now, Run, Refused); // after each call, and at nextEvent()
/// \endcode
class Admission {
public:
  using Options = AdmissionOptions;

  /// \throws PolicyError if a setting is out of range.
  explicit Admission(const Options &Settings, absl::Time Now);
  ~Admission();
  Admission(Admission &&) noexcept;
  Admission &operator=(Admission &&) noexcept;

  /// Offers a new ticket: it is to run now, waits, or is refused.
  /// \throws PolicyError if a ticket with this id runs or waits.
  [[nodiscard]] AdmissionDecision offer(const Ticket &Request, absl::Time Now);

  /// Tells that a ticket's run has ended; unknown ids are ignored.
  void finish(TicketId Id, RunOutcome Outcome, absl::Duration Latency,
              absl::Time Now);

  /// Takes a ticket out of the queue.
  /// \returns false if it does not wait: it runs, or is not known.
  bool cancel(TicketId Id, absl::Time Now);

  /// Moves tickets out of the queue. Appends those that are to run now to
  /// \p Run and those that are refused to \p Refused.
  void poll(absl::Time Now, std::vector<TicketId> &Run,
            std::vector<AdmissionRefusal> &Refused);

  /// \returns when poll has something to do without another call before.
  [[nodiscard]] absl::Time nextEvent() const;

  /// Tells that the target was seen to have restarted: its cold start begins.
  void restart(absl::Time Now);

  /// \returns the load with the mean shed level over all customers.
  [[nodiscard]] AdmissionLoad load(absl::Time Now) const;

  /// \returns the load with the shed level of one customer; to be sent with
  /// the answers to its requests.
  [[nodiscard]] AdmissionLoad load(absl::Time Now,
                                   std::uint32_t Customer) const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_ADMISSION_H
