#include "ExchangeHandle.h"

#include "ServerProblem.h"

namespace knapweedloft::http {

HttpExchange::Impl::~Impl() {
  m_Pending->answer(
      serverProblem(500, model::RefusalReason::Internal, model::Ran::Unknown));
}

HttpExchange::HttpExchange(std::shared_ptr<Impl> State)
    : m_Impl(std::move(State)) {}

const HttpRequest &HttpExchange::request() const {
  return m_Impl->m_Pending->request();
}

bool HttpExchange::isFromLoopback() const {
  return m_Impl->m_Pending->isFromLoopback();
}

bool HttpExchange::answer(HttpResponse Response) {
  return m_Impl->m_Pending->answer(std::move(Response));
}

void HttpExchange::onHangUp(std::function<void()> Hook) {
  m_Impl->m_Pending->onHangUp(std::move(Hook));
}

} // namespace knapweedloft::http
