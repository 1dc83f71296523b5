#include "http/LoopServer.h"

#include "LoopServerImpl.h"
#include "http/MessageText.h"

#include <utility>

namespace knapweedloft::http {

LoopServer::LoopServer(io::EventLoop &Loop, Options Settings)
    : m_Impl(std::make_unique<Impl>(Loop, std::move(Settings))) {}

LoopServer::~LoopServer() = default;

void LoopServer::answer(ExchangeId Id, const HttpResponse &Response) {
  m_Impl->answer(Id, Response.m_Status, headerLines(Response.m_Headers),
                 Response.m_Body);
}

void LoopServer::answer(ExchangeId Id, int Status, std::string_view Lines,
                        std::string_view Body) {
  m_Impl->answer(Id, Status, Lines, Body);
}

void LoopServer::setLimits(const Limits &Changed) {
  m_Impl->m_Settings.m_Limits = Changed;
}

void LoopServer::endOverdue() { m_Impl->endOverdue(); }

void LoopServer::beginClosing() { m_Impl->beginClosing(); }

void LoopServer::endIdle() { m_Impl->endIdle(); }

bool LoopServer::isIdle() const { return m_Impl->isIdle(); }

std::size_t LoopServer::connections() const { return m_Impl->connections(); }

const CallerConnectionCounts &LoopServer::counts() const {
  return m_Impl->m_Counts;
}

std::size_t LoopServer::pending() const { return m_Impl->m_Pending; }

std::size_t LoopServer::unsentBytes() const { return m_Impl->unsentBytes(); }

std::uint16_t LoopServer::port() const { return m_Impl->m_Port; }

} // namespace knapweedloft::http
