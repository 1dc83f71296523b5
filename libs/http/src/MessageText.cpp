#include "http/MessageText.h"

#include "FieldGrammar.h"

#include "fmt/format.h"

#include <algorithm>
#include <array>
#include <iterator>

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

bool isHeaderLine(std::string_view Line) {
  std::size_t Colon = Line.find(':');
  if (Colon == std::string_view::npos || Colon == 0)
    return false;
  std::string_view Name = Line.substr(0, Colon);
  std::string_view Value = Line.substr(Colon + 1);
  return std::all_of(Name.begin(), Name.end(), isTokenCharacter) &&
         std::all_of(Value.begin(), Value.end(), isTextCharacter) &&
         !isHopByHop(Name);
}

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

} // namespace

bool isHopByHop(std::string_view Name) {
  for (std::string_view Known : HopByHopNames)
    if (isSameName(Known, Name))
      return true;
  return false;
}

std::string headerLines(const HeaderList &Headers) {
  std::string Lines;
  for (const HeaderField &Field : Headers) {
    if (isHopByHop(Field.m_Name))
      continue;
    Lines += Field.m_Name;
    Lines += ": ";
    Lines += Field.m_Value;
    Lines += "\r\n";
  }
  return Lines;
}

bool areHeaderLines(std::string_view Lines) {
  constexpr std::string_view LineEnd = "\r\n";
  while (!Lines.empty()) {
    std::size_t End = Lines.find(LineEnd);
    if (End == std::string_view::npos || !isHeaderLine(Lines.substr(0, End)))
      return false;
    Lines.remove_prefix(End + LineEnd.size());
  }
  return true;
}

void appendResponse(std::string &To, int Status, std::string_view Lines,
                    std::string_view Body, bool IsClosing, bool LeavesOutBody) {
  fmt::format_to(std::back_inserter(To), "HTTP/1.1 {} {}\r\n", Status,
                 reasonOf(Status));
  To += Lines;
  if (IsClosing)
    To += "Connection: close\r\n";
  constexpr int NoContent = 204;
  constexpr int NotModified = 304;
  bool HasLength = Status != NoContent && Status != NotModified;
  if (HasLength)
    fmt::format_to(std::back_inserter(To), "Content-Length: {}\r\n",
                   Body.size());
  To += "\r\n";
  if (HasLength && !LeavesOutBody)
    To += Body;
}

std::string requestText(std::string_view Method, std::string_view Path,
                        std::string_view Lines, std::string_view Body) {
  constexpr std::size_t RoomForLength = 64;
  std::string Text;
  Text.reserve(Method.size() + Path.size() + Lines.size() + Body.size() +
               RoomForLength);
  Text += Method;
  Text += ' ';
  Text += Path;
  Text += " HTTP/1.1\r\n";
  Text += Lines;
  bool MayHaveBody = Method != "GET" && Method != "HEAD";
  if (MayHaveBody || !Body.empty())
    fmt::format_to(std::back_inserter(Text), "Content-Length: {}\r\n",
                   Body.size());
  Text += "\r\n";
  Text += Body;
  return Text;
}

std::string requestText(const HttpRequest &Request) {
  return requestText(Request.m_Method, Request.m_Path,
                     headerLines(Request.m_Headers), Request.m_Body);
}

} // namespace knapweedloft::http
