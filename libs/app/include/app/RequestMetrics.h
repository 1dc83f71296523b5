#ifndef KNAPWEEDLOFT_APP_REQUESTMETRICS_H
#define KNAPWEEDLOFT_APP_REQUESTMETRICS_H

#include "app/Objective.h"
#include "app/RequestRecord.h"
#include "app/RequestSeries.h"

#include "absl/container/btree_map.h"
#include "absl/synchronization/mutex.h"

#include <array>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>

namespace knapweedloft::app {

/// Counts every request that ended at this daemon, by route and customer.
/// Thread-safe: each thread writes to one of a few shards, readers add them up.
///
/// \code
///   Metrics.record({.m_Route = "orders", .m_Status = 200}, monotonicNow());
///   Metrics.forEach(Now, [](const auto &Key, const RequestSeries &Each) {});
/// \endcode
class RequestMetrics {
public:
  using Key = std::pair<std::string, std::string>; ///< Route and customer.

  struct Options {
    Objective m_Objective;
    /// Series beyond these go to the series of the route ("", customer "*").
    std::size_t m_MaxSeries = 96;
  };

  explicit RequestMetrics(Options Settings);

  void record(const RequestRecord &Ended, absl::Time Now);

  [[nodiscard]] const Objective &objective() const {
    return m_Options.m_Objective;
  }

  /// Calls \p Visit for each series of each shard; a key may come several
  /// times and its series are to be added up.
  void forEach(const std::function<void(const Key &, const RequestSeries &)>
                   &Visit) const;

private:
  static constexpr std::size_t ShardCount = 4;

  struct Shard {
    mutable absl::Mutex m_Mutex;
    absl::btree_map<Key, RequestSeries> m_Series ABSL_GUARDED_BY(m_Mutex);
  };

  [[nodiscard]] BurnCounts classify(const RequestRecord &Ended) const;

  Options m_Options;
  std::array<Shard, ShardCount> m_Shards;
};

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_REQUESTMETRICS_H
