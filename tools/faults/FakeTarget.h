#ifndef KNAPWEEDLOFT_FAULTS_FAKETARGET_H
#define KNAPWEEDLOFT_FAULTS_FAKETARGET_H

#include "EventQueue.h"

#include "policy/RunOutcome.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

namespace knapweedloft::faults {

/// A target with a number of slots. What exceeds them waits inside, where it
/// slows the rest. In a cold start it has few slots, and it falls over when it
/// is given far more than these.
class FakeTarget {
public:
  struct Options {
    double m_Slots = 100;
    std::size_t m_Connections = 1000; ///< Past them it sheds.
    /// Loss of speed when as many wait inside as it has slots.
    double m_Contention = 0.1;
    absl::Duration m_WarmUp = absl::Seconds(10);
    double m_ColdShare = 0.1; ///< Slots at the start of a cold start.
    /// A cold target falls over when it holds so many times its slots.
    double m_FallOver = 3;
  };

  /// One call: what it needs, and what is called when it ends.
  struct Call {
    std::uint64_t m_Id = 0;
    absl::Duration m_Work; ///< On a slot, at full speed.
    /// Called half-way, on the slot; calls back to go on.
    std::function<void(std::function<void(policy::RunOutcome)>)> m_Nested;
    std::function<void(policy::RunOutcome)> m_Done;
  };

  FakeTarget(EventQueue &Events, const Options &Settings);

  void call(Call Request);
  /// Gives up a call; nothing is called back for it.
  void cancel(std::uint64_t Id);

  void setSlowdown(double Factor) { m_Slowdown = Factor; }
  /// Every call fails at once.
  void setFailing(bool IsFailing) { m_IsFailing = IsFailing; }
  /// Breaks all connections and starts cold.
  void restart();

  [[nodiscard]] double slots() const;
  [[nodiscard]] std::size_t held() const { return m_Calls.size(); }
  [[nodiscard]] std::uint64_t falls() const { return m_Falls; }
  /// \returns calls begun so far.
  [[nodiscard]] std::uint64_t begun() const { return m_Begun; }

private:
  struct Running {
    Call m_Call;
    bool m_IsOnSlot = false;
  };

  void begin(std::uint64_t Id);
  void half(std::uint64_t Id);
  void end(std::uint64_t Id, policy::RunOutcome Outcome);
  void fill();
  [[nodiscard]] absl::Duration workOf(const Call &Request) const;
  [[nodiscard]] bool isCold() const;
  void failAll();

  EventQueue &m_Events;
  Options m_Settings;
  absl::flat_hash_map<std::uint64_t, Running> m_Calls;
  std::deque<std::uint64_t> m_Waiting;
  double m_Busy = 0;
  double m_Slowdown = 1;
  bool m_IsFailing = false;
  absl::Time m_ColdSince = absl::InfinitePast();
  std::uint64_t m_Falls = 0;
  std::uint64_t m_Begun = 0;
  std::uint64_t m_Life = 0;
};

} // namespace knapweedloft::faults

#endif // KNAPWEEDLOFT_FAULTS_FAKETARGET_H
