#ifndef KNAPWEEDLOFT_POLICY_FRESHNESSJUDGE_H
#define KNAPWEEDLOFT_POLICY_FRESHNESSJUDGE_H

#include "model/LogOffset.h"
#include "policy/Freshness.h"

#include "absl/time/time.h"

#include <optional>

namespace knapweedloft::policy {

/// What a follower found when it last read the log or tried to.
struct LogStamp {
  model::LogOffset m_End = 0; ///< End of the log when it was last read.
  absl::Time m_At = absl::InfinitePast(); ///< On this daemon's clock.
  bool m_IsAway = false;                  ///< The log did not answer.
  bool m_IsSplit = false;                 ///< Only with m_IsAway.
  absl::Time m_AwaySince = absl::InfiniteFuture();
};

/// Tells a quiet log from isolation and from an outage of the log.
///
/// A follower stamps what it passes on with the end of the log as it read it,
/// or says that the log is away. A stamp counts once the state has all records
/// before its end.
///
/// \code
///   Judge.onStamp(Stamp, Applied);
///   if (!Judge.isTrusted(Now))
///     return refuse(RefusalReason::StateStale);
/// \endcode
class FreshnessJudge {
public:
  struct Options {
    absl::Duration m_Bound = absl::Seconds(5);
    /// Whether keyed routes are served in a Split.
    bool m_ServesSplit = false;
  };

  explicit FreshnessJudge(const Options &Settings) : m_Settings(Settings) {}

  /// Takes a stamp in, with the offset that the state has reached.
  void onStamp(const LogStamp &Stamp, model::LogOffset Applied);

  /// The state has reached \p Applied.
  void onApplied(model::LogOffset Applied);

  [[nodiscard]] Freshness judge(absl::Time Now) const {
    return bounds().judge(Now);
  }

  /// \returns until when each verdict holds unless a stamp comes.
  [[nodiscard]] FreshnessBounds bounds() const;

  /// \returns whether keyed routes may be served.
  [[nodiscard]] bool isTrusted(absl::Time Now) const;

  /// \returns whether a keeper of rates may go on granting: nobody can have
  /// replaced it. A Split never suffices.
  [[nodiscard]] bool mayKeep(absl::Time Now) const;

  /// \returns the stamp to pass on: of a read if there is a recent one, else
  /// of the log being away.
  [[nodiscard]] const LogStamp &newest() const;

  /// \returns the furthest end of the log that any stamp told of.
  [[nodiscard]] model::LogOffset furthestEnd() const { return m_FurthestEnd; }

private:
  void count(const LogStamp &Stamp);

  Options m_Settings;
  model::LogOffset m_FurthestEnd = 0;
  LogStamp m_Read;                   ///< Newest of a read.
  LogStamp m_Away;                   ///< Newest of a log that is away.
  std::optional<LogStamp> m_Pending; ///< Oldest that lacks records here.
  absl::Time m_FreshAt = absl::InfinitePast();
  absl::Time m_AwayAt = absl::InfinitePast(); ///< And not split.
  absl::Time m_SplitAt = absl::InfinitePast();
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_FRESHNESSJUDGE_H
