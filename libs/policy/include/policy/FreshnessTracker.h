#ifndef KNAPWEEDLOFT_POLICY_FRESHNESSTRACKER_H
#define KNAPWEEDLOFT_POLICY_FRESHNESSTRACKER_H

#include "model/LogOffset.h"
#include "policy/Freshness.h"

#include "absl/time/time.h"

#include <optional>

namespace knapweedloft::policy {

/// What a follower found when it last read the log or tried to.
struct LogStamp {
  model::LogOffset m_End = 0; ///< End of the log when it was last read.
  absl::Time m_At = absl::InfinitePast(); ///< By this daemon's clock.
  bool m_IsUnavailable = false;           ///< The log did not answer.
  bool m_IsPartitioned = false;           ///< Only if unavailable.
  absl::Time m_UnavailableSince = absl::InfiniteFuture();
};

/// Tells apart a log without new records, isolation of this daemon, and an
/// outage of the log.
///
/// A follower adds a stamp to the records it disseminates: the end of the log
/// at its last read, or that the log is unavailable. A stamp counts once the
/// state has all records before that end. Not thread-safe.
///
/// \code
///   Tracker.onStamp(Stamp, Applied);
///   if (!Tracker.isTrusted(Now))
///     return refuse(RefusalReason::StateStale);
/// \endcode
class FreshnessTracker {
public:
  struct Options {
    absl::Duration m_Bound = absl::Seconds(5); ///< Maximum age of a stamp.
    /// Whether keyed routes are served while partitioned.
    bool m_ServesPartitioned = false;
  };

  explicit FreshnessTracker(const Options &Settings) : m_Settings(Settings) {}

  /// Adds a stamp. \p Applied is the offset that the state has reached.
  void onStamp(const LogStamp &Stamp, model::LogOffset Applied);

  /// The state has reached \p Applied.
  void onApplied(model::LogOffset Applied);

  [[nodiscard]] Freshness freshnessAt(absl::Time Now) const {
    return bounds().freshnessAt(Now);
  }

  /// \returns until when each freshness holds if no further stamp comes.
  [[nodiscard]] FreshnessBounds bounds() const;

  /// \returns whether keyed routes may be served.
  [[nodiscard]] bool isTrusted(absl::Time Now) const;

  /// \returns whether a lease holder may go on granting tokens because no other
  /// daemon can have replaced it. While partitioned it may not.
  [[nodiscard]] bool mayHoldLease(absl::Time Now) const;

  /// \returns the stamp to disseminate: that of a read if there is a recent
  /// one, else that of the unavailable log.
  [[nodiscard]] const LogStamp &newest() const;

  /// \returns the highest end of the log in any stamp.
  [[nodiscard]] model::LogOffset furthestEnd() const { return m_FurthestEnd; }

private:
  void apply(const LogStamp &Stamp);

  Options m_Settings;
  model::LogOffset m_FurthestEnd = 0;
  LogStamp m_Read;                   ///< Newest stamp of a read.
  LogStamp m_Outage;                 ///< Newest of an outage.
  std::optional<LogStamp> m_Pending; ///< Oldest that waits for records.
  absl::Time m_FreshAt = absl::InfinitePast();
  absl::Time m_UnavailableAt = absl::InfinitePast(); ///< And not partitioned.
  absl::Time m_PartitionedAt = absl::InfinitePast();
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_FRESHNESSTRACKER_H
