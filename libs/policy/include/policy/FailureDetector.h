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

/// A member in one of its lives.
struct PeerLife {
  std::string m_Name;
  model::Incarnation m_Incarnation = 0;

  friend bool operator==(const PeerLife &, const PeerLife &) = default;
};

/// What the caller of FailureDetector::tick() has to do.
struct DetectorStep {
  enum class Kind : std::uint8_t {
    ProbeThrough, ///< Ask m_Helper whether it reaches m_Peer.
    Suspected,    ///< m_Peer has become suspect.
    Recovered,    ///< m_Peer is alive after all.
    Died,         ///< m_Peer is taken for dead.
  };

  Kind m_Kind = Kind::ProbeThrough;
  PeerLife m_Peer;
  std::string m_Helper;
};

/// Judges whether a few watched peers are alive, after SWIM (Das, Gupta and
/// Motivala, DSN 2002): a silent peer is probed through helpers, becomes
/// suspect if none reaches it, and is taken for dead only after a timeout.
///
/// Two rules keep a daemon in trouble from blaming others (cf. Lifeguard,
/// Dadgar et al., 2018): a death needs the word of a helper, so an isolated
/// daemon declares none, and a daemon that was itself paused gives every peer
/// that time again.
///
/// \code
///   Detector.onHeard("a-1", Now);
///   for (const DetectorStep &Step : Detector.tick(Helpers, Random, Now))
///     handle(Step);
/// \endcode
class FailureDetector {
public:
  struct Options {
    /// Silence after which helpers are asked; three heartbeats.
    absl::Duration m_SilentAfter = absl::Milliseconds(1500);
    /// Time between two rounds of questions to helpers.
    absl::Duration m_ProbeInterval = absl::Seconds(1);
    /// From suspicion to death.
    absl::Duration m_SuspicionTimeout = absl::Seconds(3);
    std::size_t m_Helpers = 3; ///< Asked in one round.
    /// A longer time between ticks is a pause of this daemon.
    absl::Duration m_PauseAfter = absl::Seconds(1);
  };

  explicit FailureDetector(const Options &Settings) : m_Settings(Settings) {}

  /// Watches exactly \p Peers. New ones start alive.
  void watch(const std::vector<PeerLife> &Peers, absl::Time Now);

  /// Something came from \p Name.
  void onHeard(const std::string &Name, absl::Time Now);

  /// A helper said whether it reaches \p Name.
  void onHelperAnswer(const std::string &Name, bool IsAlive, absl::Time Now);

  /// \p Helpers are peers with a link that is up; the watched one itself is
  /// skipped.
  std::vector<DetectorStep> tick(const std::vector<std::string> &Helpers,
                                 absl::BitGenRef Random, absl::Time Now);

  /// \returns Alive for a peer that is not watched.
  [[nodiscard]] Liveness livenessOf(const std::string &Name) const;

private:
  struct Watched {
    model::Incarnation m_Incarnation = 0;
    Liveness m_Liveness = Liveness::Alive;
    absl::Time m_HeardAt; ///< Directly or through a helper.
    absl::Time m_ProbedAt = absl::InfinitePast();
    absl::Time m_SuspectAt = absl::InfinitePast();
    bool m_IsDenied = false; ///< A helper did not reach it since it was heard.
    bool m_WasSuspect = false; ///< Recovery is still to be told.
  };

  void forgivePause(absl::Time Now);
  void probe(const std::string &Name, Watched &Peer,
             const std::vector<std::string> &Helpers, absl::BitGenRef Random,
             absl::Time Now, std::vector<DetectorStep> &Steps);
  void judge(const std::string &Name, Watched &Peer, absl::Time Now,
             std::vector<DetectorStep> &Steps);

  Options m_Settings;
  absl::Time m_TickedAt = absl::InfinitePast();
  absl::flat_hash_map<std::string, Watched> m_Watched;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_FAILUREDETECTOR_H
