#ifndef KNAPWEEDLOFT_POLICY_TICKET_H
#define KNAPWEEDLOFT_POLICY_TICKET_H

#include "model/Priority.h"

#include "absl/time/time.h"

#include <cstdint>

namespace knapweedloft::policy {

/// Names a request at one target side; never used twice there.
using TicketId = std::uint64_t;

/// What admission has to know of a request.
struct Ticket {
  TicketId m_Id = 0;
  model::Priority m_Priority = model::Priority::Normal;
  std::uint32_t m_Customer = 0; ///< Dense index, given by the caller.
  absl::Time m_Deadline = absl::InfiniteFuture();
  bool m_IsIdempotent = false;
  float m_Weight = 1; ///< Share among customers, such as its rate; more than 0.
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_TICKET_H
