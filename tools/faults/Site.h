#ifndef KNAPWEEDLOFT_FAULTS_SITE_H
#define KNAPWEEDLOFT_FAULTS_SITE_H

#include "Deployment.h"
#include "EventQueue.h"
#include "FakeTarget.h"
#include "Mechanism.h"

#include "policy/RunOutcome.h"

#include <array>
#include <memory>
#include <random>
#include <vector>

namespace knapweedloft::faults {

class Hop;

/// What all hops of a trial share, and the hops themselves.
struct Site {
  Site(Deployment Spec, Mechanisms InUse, std::uint64_t Seed);
  ~Site();

  /// \returns the time a message takes between two hops.
  [[nodiscard]] absl::Duration delay(std::size_t From, std::size_t To) const;

  Deployment m_Spec;
  Mechanisms m_InUse;
  std::mt19937_64 m_Random;
  EventQueue m_Events;
  std::vector<std::unique_ptr<Hop>> m_Hops;
  std::uint64_t m_NextId = 1;
  /// How runs ended, by service; for the trace.
  std::vector<std::array<std::uint64_t, policy::RunOutcomeNames.m_Names.size()>>
      m_Ends;
  std::uint64_t m_Forwards = 0; ///< Sent to target sides, in all.
};

} // namespace knapweedloft::faults

#endif // KNAPWEEDLOFT_FAULTS_SITE_H
