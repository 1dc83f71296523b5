#ifndef KNAPWEEDLOFT_APP_APIACCESS_H
#define KNAPWEEDLOFT_APP_APIACCESS_H

#include "http/HttpMessage.h"

#include <optional>
#include <string>

namespace knapweedloft::app {

/// Decides who may use what operators use. With a token, the request must show
/// it as its bearer; without one, only callers on the loopback range are
/// served. Thread-safe.
///
/// \code
///   const ApiAccess Access(Settings.m_Api.m_Token);
///   if (auto Refusal = Access.refusalOf(Request, IsFromLoopback))
///     return Answer(std::move(*Refusal));
/// \endcode
class ApiAccess {
public:
  /// \param Token the operators' token; empty: none is asked for.
  explicit ApiAccess(std::string Token);

  /// \returns the answer that refuses \p Request, 401 or 403 with a problem
  /// document, or nothing if it may go on.
  [[nodiscard]] std::optional<http::HttpResponse>
  refusalOf(const http::HttpRequest &Request, bool IsFromLoopback) const;

private:
  [[nodiscard]] bool hasToken(const http::HttpRequest &Request) const;

  std::string m_Token;
};

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_APIACCESS_H
