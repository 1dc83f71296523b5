#ifndef KNAPWEEDLOFT_HTTP_MESSAGETEXT_H
#define KNAPWEEDLOFT_HTTP_MESSAGETEXT_H

#include "http/HttpMessage.h"

#include <string>
#include <string_view>

namespace knapweedloft::http {

/// \returns whether the field concerns one connection only and is not passed
/// on (RFC 9110, section 7.6.1), or is set anew with each message.
[[nodiscard]] bool isHopByHop(std::string_view Name);

/// Appends a response with its length. Fields that isHopByHop() are left out.
/// \p LeavesOutBody for an answer to HEAD, which declares the length only.
void appendResponse(std::string &To, const HttpResponse &Response,
                    bool IsClosing, bool LeavesOutBody = false);

/// \returns a request with its length. Fields that isHopByHop() are left out.
[[nodiscard]] std::string requestText(const HttpRequest &Request);

} // namespace knapweedloft::http

#endif // KNAPWEEDLOFT_HTTP_MESSAGETEXT_H
