#ifndef KNAPWEEDLOFT_HTTP_HTTPMESSAGE_H
#define KNAPWEEDLOFT_HTTP_HTTPMESSAGE_H

#include <string>
#include <string_view>
#include <vector>

namespace knapweedloft::http {

/// One header field; names compare without case.
struct HeaderField {
  std::string m_Name;
  std::string m_Value;
};

using HeaderList = std::vector<HeaderField>;

/// \returns whether two names of fields are the same, without case.
[[nodiscard]] bool isSameName(std::string_view Left, std::string_view Right);

/// \returns the value of the first field called \p Name, or null.
[[nodiscard]] const std::string *findHeader(const HeaderList &Headers,
                                            std::string_view Name);

/// Removes every field called \p Name.
void removeHeader(HeaderList &Headers, std::string_view Name);

/// A whole request, as received or as to be sent.
struct HttpRequest {
  std::string m_Method;
  std::string m_Path; ///< Path and query as on the request line.
  HeaderList m_Headers;
  std::string m_Body;
};

/// A whole response, as to be sent or as received.
struct HttpResponse {
  int m_Status = 200;
  HeaderList m_Headers;
  std::string m_Body;
};

} // namespace knapweedloft::http

#endif // KNAPWEEDLOFT_HTTP_HTTPMESSAGE_H
