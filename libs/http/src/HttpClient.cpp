#include "http/HttpClient.h"

#include "ClientImpl.h"

#include <utility>

namespace knapweedloft::http {

HttpClient::HttpClient(Options Settings)
    : m_Impl(std::make_unique<Impl>(std::move(Settings))) {}

HttpClient::~HttpClient() = default;

HttpClient::CallId HttpClient::send(const std::string &Base,
                                    HttpRequest Request, absl::Duration Timeout,
                                    Done OnDone) {
  return m_Impl->send(Base, std::move(Request), Timeout, std::move(OnDone));
}

void HttpClient::cancel(CallId Call) { m_Impl->cancel(Call); }

} // namespace knapweedloft::http
