#include "mesh/Node.h"

#include "NodeImpl.h"

#include <utility>

namespace knapweedloft::mesh {

Node::Node(io::EventLoop &Loop, const NodeSettings &Settings, NodePorts Ports,
           telemetry::EventLog &Log)
    : m_Impl(std::make_unique<Impl>(Loop, Settings, std::move(Ports), Log)) {}

Node::~Node() = default;

void Node::start() { m_Impl->start(); }

TargetState::ReportResult Node::onTargetReport(const TargetReport &Report) {
  return m_Impl->onTargetReport(Report);
}

bool Node::isReady() const { return m_Impl->isReady(); }

void Node::beginStop(std::function<void()> OnStopped) {
  m_Impl->beginStop(std::move(OnStopped));
}

std::string Node::metricsText() const { return m_Impl->metricsText(); }

std::vector<QuarantinedRequest> Node::quarantines() const {
  return m_Impl->quarantine().list(io::monotonicNow());
}

bool Node::releaseQuarantine(model::Fingerprint Request) {
  return m_Impl->releaseQuarantine(Request);
}

} // namespace knapweedloft::mesh
