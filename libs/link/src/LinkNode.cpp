#include "link/LinkNode.h"

#include "LinkNodeImpl.h"

#include <utility>

namespace knapweedloft::link {

LinkNode::LinkNode(Options Settings)
    : m_Impl(std::make_unique<Impl>(std::move(Settings))) {}

LinkNode::~LinkNode() = default;

void LinkNode::stop() { m_Impl->stop(); }

const model::Endpoint &LinkNode::endpoint() const { return m_Impl->endpoint(); }

void LinkNode::connect(const model::Endpoint &To) {
  m_Impl->loop().post([this, To] { m_Impl->open(To); });
}

void LinkNode::setPace(PeerHandle Link, LinkPace Pace) {
  m_Impl->loop().post([this, Link, Pace] { m_Impl->setPace(Link, Pace); });
}

absl::Duration LinkNode::ageOfMessage(PeerHandle Link) const {
  return m_Impl->ageOfMessage(Link);
}

std::size_t LinkNode::unsentBytes() const { return m_Impl->unsentBytes(); }

void LinkNode::close(PeerHandle Link) {
  m_Impl->loop().post([this, Link] { m_Impl->close(Link); });
}

LinkTraffic LinkNode::traffic() const { return m_Impl->traffic(); }

void LinkNode::post(std::function<void()> Task, absl::Duration Delay) {
  m_Impl->loop().post(std::move(Task), Delay);
}

bool LinkNode::sendEnvelope(PeerHandle Link, const wire::EnvelopeT &Envelope) {
  return m_Impl->send(Link, Envelope);
}

} // namespace knapweedloft::link
