#ifndef KNAPWEEDLOFT_POLICY_PRIORITYADMISSION_H
#define KNAPWEEDLOFT_POLICY_PRIORITYADMISSION_H

#include "absl/random/bit_gen_ref.h"

#include <cstdint>
#include <map>

namespace knapweedloft::policy {

/// Chooses which requests the entry side admits when it admits only a share.
///
/// The lowest ranks, which are the most urgent, are admitted first, as many as
/// the recent mix of ranks allows; within a rank, resent requests go before
/// new ones. The transition between admitted and rejected ranks is gradual and
/// no rank is always rejected, so that no customer and no kind of request
/// starves. Meant for bursts with resends of which only a share can be served:
/// without this order a resent request would be rejected as often as a new
/// one. Not thread-safe.
class PriorityAdmission {
public:
  struct Options {
    double m_TransitionWidth = 0.2;      ///< As a share of all requests.
    double m_MaxRejectProbability = 0.9; ///< Below 1, so that no rank starves.
    double m_DecayPerRequest = 0.998;    ///< Factor of counts per request.
  };

  explicit PriorityAdmission(const Options &Settings) : m_Settings(Settings) {}

  /// Counts a request and \returns whether it is admitted while the share
  /// \p AdmittedShare of all requests is. \p IsResend marks a resent request.
  [[nodiscard]] bool admit(std::uint32_t Rank, bool IsResend,
                           double AdmittedShare, absl::BitGenRef Random);

private:
  Options m_Settings;
  std::map<std::uint32_t, double> m_Counts; ///< Decaying, by band.
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_PRIORITYADMISSION_H
