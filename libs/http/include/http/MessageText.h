#ifndef KNAPWEEDLOFT_HTTP_MESSAGETEXT_H
#define KNAPWEEDLOFT_HTTP_MESSAGETEXT_H

#include "http/HttpMessage.h"

#include <string>
#include <string_view>

namespace knapweedloft::http {

/// \returns whether the field concerns one connection only and is not passed
/// on (RFC 9110, section 7.6.1), or is set anew with each message.
[[nodiscard]] bool isHopByHop(std::string_view Name);

/// \returns the fields as lines of a message, without those that isHopByHop().
[[nodiscard]] std::string headerLines(const HeaderList &Headers);

/// \returns whether \p Lines are whole header lines that may stand beside the
/// fields which a message sets anew: as of headerLines(), with names that are
/// tokens and values without control bytes.
[[nodiscard]] bool areHeaderLines(std::string_view Lines);

/// Appends a response with its length. \p Lines are whole header lines, as of
/// headerLines(). \p LeavesOutBody for an answer to HEAD, which declares the
/// length only.
void appendResponse(std::string &To, int Status, std::string_view Lines,
                    std::string_view Body, bool IsClosing,
                    bool LeavesOutBody = false);

/// \returns a request with its length; \p Lines are whole header lines.
[[nodiscard]] std::string requestText(std::string_view Method,
                                      std::string_view Path,
                                      std::string_view Lines,
                                      std::string_view Body);

/// \returns a request with its length. Fields that isHopByHop() are left out.
[[nodiscard]] std::string requestText(const HttpRequest &Request);

} // namespace knapweedloft::http

#endif // KNAPWEEDLOFT_HTTP_MESSAGETEXT_H
