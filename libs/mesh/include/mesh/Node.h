#ifndef KNAPWEEDLOFT_MESH_NODE_H
#define KNAPWEEDLOFT_MESH_NODE_H

#include "http/LoopServer.h"
#include "io/EventLoop.h"
#include "mesh/NodePorts.h"
#include "mesh/NodeSettings.h"
#include "mesh/TargetReport.h"
#include "mesh/TargetState.h"
#include "telemetry/EventLog.h"

#include "absl/time/time.h"

#include <functional>
#include <memory>
#include <string>

namespace knapweedloft::mesh {

/// A daemon on one thread: callers' requests, links to peers, the target beside
/// it and the store share one event loop.
///
/// \code
///   io::EventLoop Loop;
///   Node Daemon(Loop, Settings, Ports, Log);
///   Daemon.start();
///   Loop.run();
/// \endcode
class Node {
public:
  /// Binds the addresses of callers and links.
  /// \throws HttpError or LinkError if one cannot be bound.
  Node(io::EventLoop &Loop, const NodeSettings &Settings, NodePorts Ports,
       telemetry::EventLog &Log);
  ~Node();

  void start();

  /// The target says how it is. \returns what was made of it.
  TargetState::Reception onTargetReport(const TargetReport &Report);

  /// \returns whether callers may be sent here.
  [[nodiscard]] bool isReady() const;

  /// Ends what is under way and calls \p OnStopped, within the time that the
  /// settings give.
  void beginStop(std::function<void()> OnStopped);

  /// \returns counters, histograms and the age of what is believed, as text of
  /// the Prometheus format.
  [[nodiscard]] std::string metricsText() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_Impl;
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_NODE_H
