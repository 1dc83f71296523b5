#include "policy/DownstreamGuard.h"

#include "absl/random/distributions.h"

#include <algorithm>

namespace knapweedloft::policy {
namespace {

/// Factor by which the admitted share may exceed the share that succeeded
/// downstream.
constexpr double Headroom = 1.05;
/// Growth after a first window without refusals, and after those that follow.
constexpr double InitialGrowth = 1.1;
constexpr double SteadyGrowth = 1.6;
/// Share of refusals that is treated as none.
constexpr double NegligibleShare = 0.01;
/// Always admitted, so that a recovery is noticed.
constexpr double MinAdmittedShare = 0.002;
/// A window is extended until this many requests have completed, at most to
/// MaxWindows times its length.
constexpr double MinCompleted = 10;
constexpr int MaxWindows = 4;

} // namespace

DownstreamGuard::DownstreamGuard(const Options &Settings)
    : m_Settings(Settings) {}

DownstreamGuard::Entry &DownstreamGuard::at(std::uint32_t Customer,
                                            absl::Time Now) {
  if (Customer >= m_Entries.size())
    m_Entries.resize(Customer + 1);
  Entry &State = m_Entries[Customer];
  if (State.m_WindowStart == absl::InfinitePast())
    State.m_WindowStart = Now;
  return State;
}

void DownstreamGuard::closeWindow(Entry &State, absl::Time Now) const {
  absl::Duration Elapsed = Now - State.m_WindowStart;
  if (Elapsed < m_Settings.m_Window)
    return;
  if (State.m_Completed < MinCompleted &&
      Elapsed < MaxWindows * m_Settings.m_Window)
    return;
  // Requests missing to MinCompleted count as successful.
  double Refused = State.m_Refused / std::max(State.m_Completed, MinCompleted);
  bool HasNoRefusals = Refused <= NegligibleShare;
  double Growth = State.m_HadNoRefusals ? SteadyGrowth : InitialGrowth;
  double Factor = HasNoRefusals ? Growth : (1 - Refused) * Headroom;
  State.m_HadNoRefusals = HasNoRefusals;
  State.m_AdmittedShare =
      std::clamp(State.m_AdmittedShare * Factor, MinAdmittedShare, 1.0);
  State.m_Completed = State.m_Refused = 0;
  State.m_WindowStart = Now;
}

void DownstreamGuard::observe(bool IsRefusedDownstream, absl::Time Now,
                              std::uint32_t Customer) {
  Entry &State = at(Customer, Now);
  State.m_Completed += 1;
  State.m_Refused += IsRefusedDownstream ? 1 : 0;
  closeWindow(State, Now);
}

std::optional<absl::Duration> DownstreamGuard::refuse(absl::Time Now,
                                                      absl::BitGenRef Random,
                                                      std::uint32_t Customer) {
  if (!m_Settings.m_IsEnabled)
    return std::nullopt;
  Entry &State = at(Customer, Now);
  closeWindow(State, Now);
  if (State.m_AdmittedShare >= 1 ||
      absl::Uniform(Random, 0.0, 1.0) < State.m_AdmittedShare)
    return std::nullopt;
  return m_Settings.m_RetryAfter * absl::Uniform(Random, 0.5, 1.5);
}

double DownstreamGuard::admittedShare(std::uint32_t Customer) const {
  return Customer < m_Entries.size() ? m_Entries[Customer].m_AdmittedShare : 1;
}

} // namespace knapweedloft::policy
