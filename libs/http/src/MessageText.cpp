#include "http/MessageText.h"

#include "fmt/format.h"

#include <array>
#include <iterator>
#include <strings.h>

namespace knapweedloft::http {
namespace {

constexpr std::array<std::string_view, 10> HopByHopNames{"Connection",
                                                         "Content-Length",
                                                         "Transfer-Encoding",
                                                         "Keep-Alive",
                                                         "Proxy-Authenticate",
                                                         "Proxy-Authorization",
                                                         "TE",
                                                         "Trailer",
                                                         "Upgrade",
                                                         "Expect"};

std::string_view reasonOf(int Status) {
  switch (Status) {
  case 200:
    return "OK";
  case 400:
    return "Bad Request";
  case 401:
    return "Unauthorized";
  case 404:
    return "Not Found";
  case 413:
    return "Content Too Large";
  case 429:
    return "Too Many Requests";
  case 431:
    return "Request Header Fields Too Large";
  case 500:
    return "Internal Server Error";
  case 502:
    return "Bad Gateway";
  case 503:
    return "Service Unavailable";
  case 504:
    return "Gateway Timeout";
  default:
    return "Status";
  }
}

void appendHeaders(std::string &To, const HeaderList &Headers) {
  for (const HeaderField &Field : Headers) {
    if (isHopByHop(Field.m_Name))
      continue;
    To += Field.m_Name;
    To += ": ";
    To += Field.m_Value;
    To += "\r\n";
  }
}

} // namespace

bool isHopByHop(std::string_view Name) {
  for (std::string_view Known : HopByHopNames)
    if (Known.size() == Name.size() &&
        strncasecmp(Known.data(), Name.data(), Name.size()) == 0)
      return true;
  return false;
}

void appendResponse(std::string &To, const HttpResponse &Response,
                    bool IsClosing, bool LeavesOutBody) {
  fmt::format_to(std::back_inserter(To), "HTTP/1.1 {} {}\r\n",
                 Response.m_Status, reasonOf(Response.m_Status));
  appendHeaders(To, Response.m_Headers);
  if (IsClosing)
    To += "Connection: close\r\n";
  constexpr int NoContent = 204;
  constexpr int NotModified = 304;
  bool HasLength =
      Response.m_Status != NoContent && Response.m_Status != NotModified;
  if (HasLength)
    fmt::format_to(std::back_inserter(To), "Content-Length: {}\r\n",
                   Response.m_Body.size());
  To += "\r\n";
  if (HasLength && !LeavesOutBody)
    To += Response.m_Body;
}

std::string requestText(const HttpRequest &Request) {
  std::string Text;
  Text.reserve(512 + Request.m_Body.size());
  Text += Request.m_Method;
  Text += ' ';
  Text += Request.m_Path;
  Text += " HTTP/1.1\r\n";
  appendHeaders(Text, Request.m_Headers);
  bool MayHaveBody = Request.m_Method != "GET" && Request.m_Method != "HEAD";
  if (MayHaveBody || !Request.m_Body.empty())
    fmt::format_to(std::back_inserter(Text), "Content-Length: {}\r\n",
                   Request.m_Body.size());
  Text += "\r\n";
  Text += Request.m_Body;
  return Text;
}

} // namespace knapweedloft::http
