#ifndef KNAPWEEDLOFT_HTTP_EXCHANGEHANDLE_H
#define KNAPWEEDLOFT_HTTP_EXCHANGEHANDLE_H

#include "PendingExchange.h"
#include "http/HttpExchange.h"

#include <memory>
#include <utility>

namespace knapweedloft::http {

/// Shared by the copies of an exchange; the last one answers 500 if nobody
/// answered.
class HttpExchange::Impl {
public:
  explicit Impl(std::shared_ptr<PendingExchange> Pending)
      : m_Pending(std::move(Pending)) {}
  ~Impl();
  Impl(const Impl &) = delete;
  Impl &operator=(const Impl &) = delete;

  std::shared_ptr<PendingExchange> m_Pending;
};

} // namespace knapweedloft::http

#endif // KNAPWEEDLOFT_HTTP_EXCHANGEHANDLE_H
