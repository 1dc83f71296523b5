#include "http/HttpServer.h"

#include "ServerImpl.h"

namespace knapweedloft::http {

HttpServer::HttpServer(Options Settings)
    : m_Impl(std::make_unique<Impl>(std::move(Settings))) {}

HttpServer::~HttpServer() = default;

std::uint16_t HttpServer::port() const { return m_Impl->port(); }

void HttpServer::quiesce() { m_Impl->quiesce(); }

std::size_t HttpServer::pending() const { return m_Impl->pending(); }

} // namespace knapweedloft::http
