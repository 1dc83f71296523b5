#ifndef KNAPWEEDLOFT_POLICY_POISONREQUESTDETECTOR_H
#define KNAPWEEDLOFT_POLICY_POISONREQUESTDETECTOR_H

#include "model/Quarantine.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstddef>
#include <span>
#include <vector>

namespace knapweedloft::policy {

/// Finds poison requests, which crash their targets, among the requests in
/// flight at each crash.
///
/// After a first crash every request that was in flight is a suspect. A target
/// runs one suspect at a time, alongside requests that are not suspect. A
/// suspect that succeeds is cleared. If a target crashes while a suspect runs,
/// the suspect is quarantined; the other requests in flight at that crash are
/// not penalized and do not become suspects. Not thread-safe.
///
/// \code
///   if (!Detector.mayStart(Request, Now))
///     return wait();
///   Detector.start(Request, Now);
///   ...
///   for (model::Fingerprint Poison :
///        Detector.onCrash(InFlight, Now).m_Quarantined)
///     quarantine(Poison);
/// \endcode
class PoisonRequestDetector {
public:
  struct Options {
    absl::Duration m_SuspectPeriod = absl::Minutes(10);
    absl::Duration m_QuarantinePeriod = absl::Minutes(10);
    std::size_t m_MaxSuspects = 65'536; ///< Further ones are not recorded.
  };

  /// What was concluded from a crash.
  struct CrashFindings {
    std::vector<model::Fingerprint> m_Suspects;    ///< Newly suspected.
    std::vector<model::Fingerprint> m_Quarantined; ///< Newly quarantined.
  };

  explicit PoisonRequestDetector(const Options &Settings)
      : m_Settings(Settings) {}

  [[nodiscard]] bool isSuspect(model::Fingerprint Request,
                               absl::Time Now) const;
  [[nodiscard]] bool isQuarantined(model::Fingerprint Request,
                                   absl::Time Now) const;
  /// \returns false if \p Request is a suspect and another one is running.
  [[nodiscard]] bool mayStart(model::Fingerprint Request, absl::Time Now) const;

  void start(model::Fingerprint Request, absl::Time Now);
  /// \p IsSuccess: the target answered and did not crash.
  void end(model::Fingerprint Request, bool IsSuccess);

  /// The target crashed while it ran \p InFlight.
  CrashFindings onCrash(std::span<const model::Fingerprint> InFlight,
                        absl::Time Now);

  /// Adds the findings of another daemon of the service.
  void addSuspects(std::span<const model::Fingerprint> Requests,
                   absl::Time Now);
  void addQuarantined(std::span<const model::Fingerprint> Requests,
                      absl::Time Now);

  /// Drops the local entry: the quarantine is recorded in the log now, where an
  /// operator may lift it.
  void dropQuarantined(model::Fingerprint Request) {
    m_Quarantined.erase(Request);
  }

  [[nodiscard]] std::size_t suspects() const { return m_Suspects.size(); }

private:
  void expire(absl::Time Now);

  Options m_Settings;
  absl::flat_hash_map<model::Fingerprint, absl::Time> m_Suspects; ///< Expiry.
  absl::flat_hash_map<model::Fingerprint, absl::Time>
      m_Quarantined;                       ///< Expiry.
  model::Fingerprint m_RunningSuspect = 0; ///< 0: none.
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_POISONREQUESTDETECTOR_H
