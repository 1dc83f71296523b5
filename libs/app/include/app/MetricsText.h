#ifndef KNAPWEEDLOFT_APP_METRICSTEXT_H
#define KNAPWEEDLOFT_APP_METRICSTEXT_H

#include "app/RequestMetrics.h"
#include "link/LinkTraffic.h"

#include <cstdint>
#include <string>

namespace knapweedloft::app {

/// Gauges of a daemon that are not counted by request.
struct DaemonGauges {
  std::uint64_t m_AppliedOffset = 0;
  std::uint64_t m_Links = 0;
  std::uint64_t m_PendingEntry = 0;  ///< Requests that entered here.
  std::uint64_t m_PendingTarget = 0; ///< Forwards at the target beside it.
  double m_Limit = 0;
  double m_ShedLevel = 0;
  bool m_IsRamping = false;
  bool m_IsStateFresh = false;
  link::LinkTraffic m_Traffic;
};

/// \returns the metrics in the Prometheus text format, version 0.0.4.
[[nodiscard]] std::string toPrometheusText(const RequestMetrics &Metrics,
                                           const DaemonGauges &Gauges);

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_METRICSTEXT_H
