#ifndef KNAPWEEDLOFT_MESH_NODE_H
#define KNAPWEEDLOFT_MESH_NODE_H

#include "http/LoopServer.h"
#include "io/EventLoop.h"
#include "mesh/NodePorts.h"
#include "mesh/NodeSettings.h"
#include "mesh/QuarantinedRequest.h"
#include "mesh/TargetReport.h"
#include "mesh/TargetState.h"
#include "telemetry/EventLog.h"

#include "absl/time/time.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace knapweedloft::mesh {

/// A daemon that runs on a single thread: callers' requests, links to peers,
/// the local target and the store client share one event loop. All members are
/// called, and all hooks run, on the thread of that loop.
///
/// \code
///   io::EventLoop Loop;
///   Node Daemon(Loop, Settings, Ports, Log);
///   Daemon.start();
///   Loop.run();
/// \endcode
class Node {
public:
  /// Binds the listening addresses for callers and for links from peers.
  /// \throws HttpError or LinkError if one cannot be bound.
  Node(io::EventLoop &Loop, const NodeSettings &Settings, NodePorts Ports,
       telemetry::EventLog &Log);
  ~Node();

  void start();

  /// Handles a report of the local target. \returns whether it was accepted.
  TargetState::ReportResult onTargetReport(const TargetReport &Report);

  /// \returns whether the daemon is ready to serve callers.
  [[nodiscard]] bool isReady() const;

  /// Starts a graceful stop: requests in flight may finish. Calls \p OnStopped
  /// once the minimum stop duration has passed and no request or answer is
  /// pending. After the stop timeout of the settings or, if that is longer, the
  /// minimum stop duration, it answers what is left and calls \p OnStopped
  /// within PlannedStop::CloseTimeout.
  void beginStop(std::function<void()> OnStopped);

  /// \returns counters, latency quantiles and the state of links and store in
  /// the Prometheus text format.
  [[nodiscard]] std::string metricsText() const;

  /// \returns the requests in quarantine, on probation or suspected.
  [[nodiscard]] std::vector<QuarantinedRequest> quarantines() const;
  /// Releases a request on all daemons. \returns false if no crash counts
  /// against it.
  bool releaseQuarantine(model::Fingerprint Request);

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_NODE_H
