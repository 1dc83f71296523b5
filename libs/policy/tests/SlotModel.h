#ifndef KNAPWEEDLOFT_POLICY_TESTS_SLOTMODEL_H
#define KNAPWEEDLOFT_POLICY_TESTS_SLOTMODEL_H

#include "policy/ConcurrencyLimit.h"

#include "absl/time/time.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <random>
#include <vector>

namespace knapweedloft::policy {

/// Simulates a target with a number of slots that always gets as many requests
/// as the limit and the demand allow.
class SlotModel {
public:
  SlotModel(ConcurrencyLimit &Limit, double Slots, absl::Time Now)
      : m_Limit(Limit), m_Now(Now), m_FreeAt(static_cast<std::size_t>(Slots)) {
    std::fill(m_FreeAt.begin(), m_FreeAt.end(), Now);
  }

  void setService(absl::Duration Service) { m_Service = Service; }
  void setOutcome(RunOutcome Outcome) { m_Outcome = Outcome; }
  void setSlots(double Slots) {
    m_FreeAt.resize(static_cast<std::size_t>(Slots), m_Now);
  }
  /// Sets the maximum number of concurrent requests.
  void setDemand(std::uint32_t Demand) { m_Demand = Demand; }

  void run(absl::Duration Span) {
    absl::Time End = m_Now + Span;
    fill();
    while (!m_Runs.empty() && m_Runs.top().m_End <= End) {
      Run Next = m_Runs.top();
      m_Runs.pop();
      m_Now = Next.m_End;
      m_Limit.onFinish(--m_Running, m_Outcome, m_Now - Next.m_Start, m_Now);
      fill();
    }
    m_Now = End;
  }

  /// Loses every connection, as when the target crashes.
  void loseAll() {
    for (; !m_Runs.empty(); m_Runs.pop())
      m_Limit.onFinish(--m_Running, RunOutcome::ConnectionLost,
                       m_Now - m_Runs.top().m_Start, m_Now);
    std::fill(m_FreeAt.begin(), m_FreeAt.end(), m_Now);
  }

  [[nodiscard]] absl::Time now() const { return m_Now; }

private:
  struct Run {
    absl::Time m_End;
    absl::Time m_Start;
    bool operator<(const Run &Other) const { return m_End > Other.m_End; }
  };

  void fill() {
    while (m_Running < std::min<double>(m_Limit.current(), m_Demand)) {
      m_Limit.onStart(++m_Running, m_Now);
      auto Slot = std::min_element(m_FreeAt.begin(), m_FreeAt.end());
      std::uniform_real_distribution<double> Jitter(0.5, 1.5);
      *Slot = std::max(*Slot, m_Now) + m_Service * Jitter(m_Random);
      m_Runs.push({*Slot, m_Now});
    }
  }

  ConcurrencyLimit &m_Limit;
  absl::Time m_Now;
  std::vector<absl::Time> m_FreeAt;
  absl::Duration m_Service = absl::Milliseconds(50);
  RunOutcome m_Outcome = RunOutcome::Success;
  std::uint32_t m_Demand = 100000;
  std::uint32_t m_Running = 0;
  std::priority_queue<Run> m_Runs;
  std::mt19937_64 m_Random{7};
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_TESTS_SLOTMODEL_H
