#include "FakeTarget.h"

#include <algorithm>

namespace knapweedloft::faults {
namespace {

constexpr absl::Duration FailingTime = absl::Milliseconds(1);

} // namespace

FakeTarget::FakeTarget(EventQueue &Events, const Options &Settings)
    : m_Events(Events), m_Settings(Settings) {}

bool FakeTarget::isCold() const {
  return m_Events.now() < m_ColdSince + m_Settings.m_WarmUp;
}

double FakeTarget::slots() const {
  if (!isCold())
    return m_Settings.m_Slots;
  double Warm =
      absl::FDivDuration(m_Events.now() - m_ColdSince, m_Settings.m_WarmUp);
  double Share = m_Settings.m_ColdShare + (1 - m_Settings.m_ColdShare) * Warm;
  return std::max(1.0, m_Settings.m_Slots * Share);
}

absl::Duration FakeTarget::workOf(const Call &Request) const {
  double Excess = std::max(0.0, static_cast<double>(held()) - slots());
  double Contention = 1 + m_Settings.m_Contention * Excess / slots();
  return Request.m_Work * (m_Slowdown * Contention);
}

void FakeTarget::call(Call Request) {
  std::uint64_t Id = Request.m_Id;
  if (m_IsFailing) {
    m_Events.after(FailingTime, [Done = std::move(Request.m_Done)] {
      Done(policy::RunOutcome::Error);
    });
    return;
  }
  if (held() >= m_Settings.m_Connections) {
    m_Events.after(FailingTime, [Done = std::move(Request.m_Done)] {
      Done(policy::RunOutcome::Shed);
    });
    return;
  }
  m_Calls[Id].m_Call = std::move(Request);
  m_Waiting.push_back(Id);
  if (isCold() &&
      static_cast<double>(held()) > m_Settings.m_FallOver * slots() + 2) {
    ++m_Falls;
    restart();
    return;
  }
  fill();
}

void FakeTarget::fill() {
  while (!m_Waiting.empty() && m_Busy + 1 <= slots()) {
    std::uint64_t Id = m_Waiting.front();
    m_Waiting.pop_front();
    if (m_Calls.contains(Id))
      begin(Id);
  }
}

void FakeTarget::begin(std::uint64_t Id) {
  Running &Own = m_Calls[Id];
  Own.m_IsOnSlot = true;
  ++m_Busy;
  ++m_Begun;
  absl::Duration Work = workOf(Own.m_Call);
  std::uint64_t Life = m_Life;
  if (!Own.m_Call.m_Nested) {
    m_Events.after(Work, [this, Id, Life] {
      if (Life == m_Life)
        end(Id, policy::RunOutcome::Success);
    });
    return;
  }
  m_Events.after(Work / 2, [this, Id, Life] {
    if (Life == m_Life)
      half(Id);
  });
}

void FakeTarget::half(std::uint64_t Id) {
  auto Found = m_Calls.find(Id);
  if (Found == m_Calls.end())
    return;
  auto Nested = Found->second.m_Call.m_Nested;
  std::uint64_t Life = m_Life;
  Nested([this, Id, Life](policy::RunOutcome Outcome) {
    auto Own = m_Calls.find(Id);
    if (Life != m_Life || Own == m_Calls.end())
      return;
    if (Outcome != policy::RunOutcome::Success) {
      end(Id, Outcome);
      return;
    }
    m_Events.after(workOf(Own->second.m_Call) / 2, [this, Id, Life] {
      if (Life == m_Life)
        end(Id, policy::RunOutcome::Success);
    });
  });
}

void FakeTarget::end(std::uint64_t Id, policy::RunOutcome Outcome) {
  auto Found = m_Calls.find(Id);
  if (Found == m_Calls.end())
    return;
  auto Done = std::move(Found->second.m_Call.m_Done);
  m_Calls.erase(Found);
  --m_Busy;
  fill();
  Done(Outcome);
}

void FakeTarget::cancel(std::uint64_t Id) {
  auto Found = m_Calls.find(Id);
  if (Found == m_Calls.end())
    return;
  if (Found->second.m_IsOnSlot)
    --m_Busy;
  m_Calls.erase(Found);
  fill();
}

void FakeTarget::restart() {
  m_ColdSince = m_Events.now();
  failAll();
}

void FakeTarget::failAll() {
  ++m_Life;
  auto Lost = std::move(m_Calls);
  m_Calls.clear();
  m_Waiting.clear();
  m_Busy = 0;
  std::vector<std::uint64_t> Ids;
  for (auto &[Id, Own] : Lost)
    Ids.push_back(Id);
  std::sort(Ids.begin(), Ids.end());
  for (std::uint64_t Id : Ids)
    m_Events.after(absl::ZeroDuration(),
                   [Done = std::move(Lost[Id].m_Call.m_Done)] {
                     Done(policy::RunOutcome::ConnectionLost);
                   });
}

} // namespace knapweedloft::faults
