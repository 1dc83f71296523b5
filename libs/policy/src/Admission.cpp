#include "policy/Admission.h"

#include "policy/PolicyError.h"

#include "absl/container/flat_hash_map.h"

#include <algorithm>
#include <deque>

namespace knapweedloft::policy {

class Admission::Impl {
public:
  explicit Impl(const Options &Settings) : m_Settings(Settings) {}

  AdmissionDecision offer(const Ticket &Request, absl::Time Now);
  void finish(TicketId Id, absl::Duration Latency);
  bool cancel(TicketId Id);
  void poll(absl::Time Now, std::vector<TicketId> &Run,
            std::vector<AdmissionRefusal> &Refused);
  [[nodiscard]] absl::Time nextEvent() const;
  [[nodiscard]] AdmissionLoad load() const;

private:
  struct Waiting {
    Ticket m_Ticket;
    absl::Time m_Since;
  };

  [[nodiscard]] bool hasSlot() const {
    return static_cast<double>(m_Running.size()) < m_Settings.m_FixedLimit;
  }

  Options m_Settings;
  absl::flat_hash_map<TicketId, absl::Time> m_Running;
  std::deque<Waiting> m_Queue;
  absl::Duration m_Latency;
};

AdmissionDecision Admission::Impl::offer(const Ticket &Request,
                                         absl::Time Now) {
  if (Request.m_Deadline <= Now)
    return {Verdict::Refused, model::RefusalReason::DeadlinePassed,
            absl::ZeroDuration()};
  if (hasSlot() && m_Queue.empty()) {
    m_Running.emplace(Request.m_Id, Now);
    return {Verdict::Run, model::RefusalReason::None, absl::ZeroDuration()};
  }
  if (m_Queue.size() >= m_Settings.m_MaxQueued)
    return {Verdict::Refused, model::RefusalReason::Overloaded,
            absl::Seconds(1)};
  m_Queue.push_back({Request, Now});
  return {Verdict::Queued, model::RefusalReason::None, absl::ZeroDuration()};
}

void Admission::Impl::finish(TicketId Id, absl::Duration Latency) {
  if (m_Running.erase(Id) > 0)
    m_Latency += (Latency - m_Latency) / 8;
}

bool Admission::Impl::cancel(TicketId Id) {
  auto Found =
      std::find_if(m_Queue.begin(), m_Queue.end(), [Id](const Waiting &One) {
        return One.m_Ticket.m_Id == Id;
      });
  if (Found == m_Queue.end())
    return false;
  m_Queue.erase(Found);
  return true;
}

void Admission::Impl::poll(absl::Time Now, std::vector<TicketId> &Run,
                           std::vector<AdmissionRefusal> &Refused) {
  while (!m_Queue.empty()) {
    const Waiting &First = m_Queue.front();
    if (Now - First.m_Since >= m_Settings.m_MaxWait ||
        First.m_Ticket.m_Deadline <= Now) {
      Refused.push_back({First.m_Ticket.m_Id, model::RefusalReason::Overloaded,
                         absl::Seconds(1)});
      m_Queue.pop_front();
      continue;
    }
    if (!hasSlot())
      return;
    m_Running.emplace(First.m_Ticket.m_Id, Now);
    Run.push_back(First.m_Ticket.m_Id);
    m_Queue.pop_front();
  }
}

absl::Time Admission::Impl::nextEvent() const {
  if (m_Queue.empty())
    return absl::InfiniteFuture();
  return m_Queue.front().m_Since + m_Settings.m_MaxWait;
}

AdmissionLoad Admission::Impl::load() const {
  return {.m_Limit = static_cast<float>(m_Settings.m_FixedLimit),
          .m_InFlight = static_cast<std::uint32_t>(m_Running.size()),
          .m_Queued = static_cast<std::uint32_t>(m_Queue.size()),
          .m_ShedLevel = 0,
          .m_Latency = m_Latency,
          .m_IsRamping = false};
}

Admission::Admission(const Options &Settings, absl::Time /*Now*/)
    : m_Impl(std::make_unique<Impl>(Settings)) {}
Admission::~Admission() = default;
Admission::Admission(Admission &&) noexcept = default;
Admission &Admission::operator=(Admission &&) noexcept = default;

AdmissionDecision Admission::offer(const Ticket &Request, absl::Time Now) {
  return m_Impl->offer(Request, Now);
}

void Admission::finish(TicketId Id, RunOutcome /*Outcome*/,
                       absl::Duration Latency, absl::Time /*Now*/) {
  m_Impl->finish(Id, Latency);
}

bool Admission::cancel(TicketId Id, absl::Time /*Now*/) {
  return m_Impl->cancel(Id);
}

void Admission::poll(absl::Time Now, std::vector<TicketId> &Run,
                     std::vector<AdmissionRefusal> &Refused) {
  m_Impl->poll(Now, Run, Refused);
}

absl::Time Admission::nextEvent() const { return m_Impl->nextEvent(); }

void Admission::restart(absl::Time /*Now*/) {}

AdmissionLoad Admission::load(absl::Time /*Now*/) const {
  return m_Impl->load();
}

AdmissionLoad Admission::load(absl::Time /*Now*/,
                              std::uint32_t /*Customer*/) const {
  return m_Impl->load();
}

} // namespace knapweedloft::policy
