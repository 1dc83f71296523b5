#ifndef KNAPWEEDLOFT_POLICY_FAILUREDETECTOR_H
#define KNAPWEEDLOFT_POLICY_FAILUREDETECTOR_H

#include "model/Incarnation.h"
#include "policy/Liveness.h"

#include "absl/container/flat_hash_map.h"
#include "absl/random/bit_gen_ref.h"
#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace knapweedloft::policy {

/// One incarnation of a member.
struct PeerIncarnation {
  std::string m_Name;
  model::Incarnation m_Incarnation = 0;

  friend bool operator==(const PeerIncarnation &,
                         const PeerIncarnation &) = default;
};

/// An action or event for the caller of FailureDetector::tick().
struct DetectorStep {
  enum class Kind : std::uint8_t {
    IndirectProbe, ///< Ask m_Helper whether it can reach m_Peer.
    Suspected,     ///< m_Peer has become suspect.
    Recovered,     ///< m_Peer was suspect or dead and is reachable again.
    DeclaredDead,  ///< m_Peer has been declared dead.
  };

  Kind m_Kind = Kind::IndirectProbe;
  PeerIncarnation m_Peer;
  std::string m_Helper;
};

/// Detects failures of a few watched peers, after SWIM (Das, Gupta and
/// Motivala, DSN 2002): a peer that sends nothing is probed indirectly through
/// helpers, becomes suspect once a helper reports it unreachable, and is
/// declared dead only after a timeout.
///
/// Two rules keep a faulty daemon from accusing healthy peers (cf. Lifeguard,
/// Dadgar et al., 2018): a declaration of death needs the report of a helper,
/// so an isolated daemon makes none, and a daemon that was itself paused adds
/// the length of the pause to the timeouts of all peers. Not thread-safe.
///
/// \code
///   Detector.onReceived("a-1", Now);
///   for (const DetectorStep &Step : Detector.tick(Helpers, Random, Now))
///     handle(Step);
/// \endcode
class FailureDetector {
public:
  struct Options {
    /// Time without a message after which a peer is probed through helpers;
    /// three heartbeats.
    absl::Duration m_SilentAfter = absl::Milliseconds(1500);
    /// Time between two rounds of indirect probes.
    absl::Duration m_ProbeInterval = absl::Seconds(1);
    /// Time from suspicion to the declaration of death.
    absl::Duration m_SuspicionTimeout = absl::Seconds(3);
    std::size_t m_HelpersPerRound = 3; ///< Maximum.
    /// A longer time between two ticks counts as a pause of this daemon.
    absl::Duration m_PauseThreshold = absl::Seconds(1);
  };

  explicit FailureDetector(const Options &Settings) : m_Settings(Settings) {}

  /// Watches exactly \p Peers. New ones start alive.
  void watch(const std::vector<PeerIncarnation> &Peers, absl::Time Now);

  /// A message was received from \p Name.
  void onReceived(const std::string &Name, absl::Time Now);

  /// A helper reported whether it can reach \p Name.
  void onIndirectProbeResult(const std::string &Name, bool IsAlive,
                             absl::Time Now);

  /// \p Helpers are the peers whose link is up; a peer is not asked about
  /// itself.
  std::vector<DetectorStep> tick(const std::vector<std::string> &Helpers,
                                 absl::BitGenRef Random, absl::Time Now);

  /// \returns Alive for a peer that is not watched.
  [[nodiscard]] Liveness livenessOf(const std::string &Name) const;

private:
  struct Watched {
    model::Incarnation m_Incarnation = 0;
    Liveness m_Liveness = Liveness::Alive;
    absl::Time m_ReachableAt; ///< Directly or through a helper.
    absl::Time m_ProbedAt = absl::InfinitePast();
    absl::Time m_SuspectedAt = absl::InfinitePast();
    bool m_IsReportedUnreachable = false; ///< By a helper, since m_ReachableAt.
    bool m_HasRecovered = false;          ///< The next tick reports Recovered.
  };

  void compensatePause(absl::Time Now);
  void probe(const std::string &Name, Watched &Peer,
             const std::vector<std::string> &Helpers, absl::BitGenRef Random,
             absl::Time Now, std::vector<DetectorStep> &Steps);
  void updateLiveness(const std::string &Name, Watched &Peer, absl::Time Now,
                      std::vector<DetectorStep> &Steps);

  Options m_Settings;
  absl::Time m_LastTickAt = absl::InfinitePast();
  absl::flat_hash_map<std::string, Watched> m_Watched;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_FAILUREDETECTOR_H
