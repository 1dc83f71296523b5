#ifndef KNAPWEEDLOFT_POLICY_DEATHWATCH_H
#define KNAPWEEDLOFT_POLICY_DEATHWATCH_H

#include "model/Quarantine.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstddef>
#include <span>
#include <vector>

namespace knapweedloft::policy {

/// Finds the request that kills targets among those in flight at each death.
///
/// After a first death every request that was in flight is a suspect. Suspects
/// run one at a time at each target, beside requests that are none. A suspect
/// that succeeds is cleared. When a target dies again while a suspect runs,
/// that one goes into quarantine; its company is not punished and does not
/// even become suspect. Not thread-safe.
///
/// \code
///   if (!Watch.mayStart(Print, Now))
///     return wait();
///   Watch.start(Print, Now);
///   ...
///   for (model::Fingerprint Culprit : Watch.onDeath(InFlight, Now).m_Culprits)
///     putAside(Culprit);
/// \endcode
class DeathWatch {
public:
  struct Options {
    absl::Duration m_SuspectFor = absl::Minutes(10);
    absl::Duration m_QuarantineFor = absl::Minutes(10);
    std::size_t m_MaxSuspects = 65'536; ///< The rest of a death is let off.
  };

  /// What a death taught.
  struct Death {
    std::vector<model::Fingerprint> m_Suspects; ///< New ones.
    std::vector<model::Fingerprint> m_Culprits; ///< In quarantine from now.
  };

  explicit DeathWatch(const Options &Settings) : m_Settings(Settings) {}

  [[nodiscard]] bool isSuspect(model::Fingerprint Print, absl::Time Now) const;
  [[nodiscard]] bool isQuarantined(model::Fingerprint Print,
                                   absl::Time Now) const;
  /// \returns false if a suspect has to wait until another has ended.
  [[nodiscard]] bool mayStart(model::Fingerprint Print, absl::Time Now) const;

  void start(model::Fingerprint Print, absl::Time Now);
  /// \p IsSuccess: the target answered and lives.
  void end(model::Fingerprint Print, bool IsSuccess);

  /// The target died with \p InFlight under way.
  Death onDeath(std::span<const model::Fingerprint> InFlight, absl::Time Now);

  /// Takes over what another daemon of the service has learned.
  void addSuspects(std::span<const model::Fingerprint> Prints, absl::Time Now);
  void addCulprits(std::span<const model::Fingerprint> Prints, absl::Time Now);

  /// The log holds the quarantine now, and an operator may lift it there.
  void handOver(model::Fingerprint Print) { m_Culprits.erase(Print); }

  [[nodiscard]] std::size_t suspects() const { return m_Suspects.size(); }

private:
  void expire(absl::Time Now);

  Options m_Settings;
  absl::flat_hash_map<model::Fingerprint, absl::Time> m_Suspects; ///< Until.
  absl::flat_hash_map<model::Fingerprint, absl::Time> m_Culprits; ///< Until.
  model::Fingerprint m_RunningSuspect = 0; ///< 0: none runs.
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_DEATHWATCH_H
