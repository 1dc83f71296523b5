#include "http/LoopClient.h"

#include "LoopClientImpl.h"

#include <utility>

namespace knapweedloft::http {

LoopClient::LoopClient(io::EventLoop &Loop, Options Settings)
    : m_Impl(std::make_unique<Impl>(Loop, std::move(Settings))) {}

LoopClient::~LoopClient() = default;

LoopClient::CallId LoopClient::send(Call Next, Done OnDone) {
  return m_Impl->send(std::move(Next), std::move(OnDone));
}

void LoopClient::cancel(CallId Id) { m_Impl->cancel(Id); }

const ConnectionCounts &LoopClient::counts() const { return m_Impl->counts(); }

} // namespace knapweedloft::http
