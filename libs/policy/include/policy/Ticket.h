#ifndef KNAPWEEDLOFT_POLICY_TICKET_H
#define KNAPWEEDLOFT_POLICY_TICKET_H

#include "model/Priority.h"

#include "absl/time/time.h"

#include <cstdint>

namespace knapweedloft::policy {

/// Identifies a request at one target side; never reused there.
using TicketId = std::uint64_t;

/// The properties of a request that Admission depends on.
struct Ticket {
  TicketId m_Id = 0;
  model::Priority m_Priority = model::Priority::Normal;
  std::uint32_t m_Customer = 0; ///< Dense index, assigned by the caller.
  absl::Time m_Deadline = absl::InfiniteFuture();
  bool m_IsIdempotent = false;
  /// Share among customers, such as the rate of the customer; above 0.
  float m_Weight = 1;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_TICKET_H
