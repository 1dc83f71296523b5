#ifndef KNAPWEEDLOFT_APP_REQUESTSERIES_H
#define KNAPWEEDLOFT_APP_REQUESTSERIES_H

#include "app/BurnWindow.h"
#include "app/LatencyHistogram.h"
#include "app/RequestRecord.h"

#include "boost/accumulators/accumulators.hpp"
#include "boost/accumulators/statistics/count.hpp"
#include "boost/accumulators/statistics/max.hpp"
#include "boost/accumulators/statistics/stats.hpp"
#include "boost/accumulators/statistics/sum.hpp"

#include <array>
#include <cstdint>

namespace knapweedloft::app {

/// Everything that is measured of one route and customer.
struct RequestSeries {
  /// Latency of successes in seconds.
  using Latencies = boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<boost::accumulators::tag::count,
                                         boost::accumulators::tag::sum,
                                         boost::accumulators::tag::max>>;

  Latencies m_Latency;
  LatencyHistogram m_Histogram; ///< Of successes.
  BurnWindow m_Window;
  std::uint64_t m_Attempts = 0;
  /// Requests by how they ended; None: a target answered.
  std::array<std::uint64_t, model::RefusalReasonCount> m_ByReason{};
  std::uint64_t m_TargetErrors = 0; ///< Of those a target answered: 5xx.
};

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_REQUESTSERIES_H
