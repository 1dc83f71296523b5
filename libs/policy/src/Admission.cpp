#include "AdmissionImpl.h"

namespace knapweedloft::policy {

Admission::Admission(const Options &Settings, absl::Time Now)
    : m_Impl(std::make_unique<Impl>(Settings, Now)) {}
Admission::~Admission() = default;
Admission::Admission(Admission &&) noexcept = default;
Admission &Admission::operator=(Admission &&) noexcept = default;

AdmissionDecision Admission::offer(const Ticket &Request, absl::Time Now) {
  return m_Impl->offer(Request, Now);
}

void Admission::finish(TicketId Id, RunOutcome Outcome, absl::Duration Latency,
                       absl::Time Now) {
  m_Impl->finish(Id, Outcome, Latency, Now);
}

bool Admission::cancel(TicketId Id, absl::Time /*Now*/) {
  return m_Impl->cancel(Id);
}

void Admission::poll(absl::Time Now, std::vector<TicketId> &Run,
                     std::vector<AdmissionRefusal> &Refused) {
  m_Impl->poll(Now, Run, Refused);
}

absl::Time Admission::nextEvent() const { return m_Impl->nextEvent(); }

void Admission::restart(absl::Time Now) { m_Impl->restart(Now); }

AdmissionLoad Admission::load(absl::Time /*Now*/) const {
  return m_Impl->load(m_Impl->meanLevel());
}

AdmissionLoad Admission::load(absl::Time /*Now*/,
                              std::uint32_t Customer) const {
  return m_Impl->load(m_Impl->levelOf(Customer));
}

} // namespace knapweedloft::policy
