#ifndef KNAPWEEDLOFT_POLICY_REQUESTSTANDING_H
#define KNAPWEEDLOFT_POLICY_REQUESTSTANDING_H

#include "model/NameTable.h"

#include "absl/time/time.h"

#include <cstdint>

namespace knapweedloft::policy {

/// How a request may be run, by the crashes that it was in flight at.
enum class RequestStanding : std::uint8_t {
  Clear,
  Suspect,    ///< A target runs one such request at a time.
  Isolated,   ///< Others may explain its crashes: as on probation.
  Probation,  ///< Its quarantine is over: one target runs it, one at a time.
  Quarantined ///< No target runs it.
};

inline constexpr model::NameTable<RequestStanding, 5> RequestStandingNames{
    {"clear", "suspect", "isolated", "probation", "quarantined"}};

/// \returns whether one target of the service may run such a request.
[[nodiscard]] constexpr bool isForOneTarget(RequestStanding Standing) {
  return Standing == RequestStanding::Isolated ||
         Standing == RequestStanding::Probation;
}

/// The standing of a request and what it follows from.
struct RequestJudgement {
  RequestStanding m_Standing = RequestStanding::Clear;
  unsigned m_Crashes = 0;   ///< That count against the request.
  unsigned m_Explained = 0; ///< Further ones, that others explain.
  absl::Time m_Until = absl::InfinitePast(); ///< End of the quarantine.
  /// It crashed a target again after all daemons knew of the crashes. Until
  /// then it may have been in flight beside the cause by chance.
  bool m_IsConfirmed = false;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_REQUESTSTANDING_H
