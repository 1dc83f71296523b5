#include "ApiRequest.h"

#include "app/ApiError.h"

#include <fmt/format.h>

#include <charconv>

namespace knapweedloft::app {
namespace {

constexpr int BadRequest = 400;
constexpr int NotFound = 404;
constexpr std::string_view Root = "/v1/";

std::vector<std::string> split(std::string_view Text, char Separator) {
  std::vector<std::string> Parts;
  while (true) {
    const std::size_t End = Text.find(Separator);
    Parts.emplace_back(Text.substr(0, End));
    if (End == std::string_view::npos)
      return Parts;
    Text.remove_prefix(End + 1);
  }
}

std::optional<std::uint64_t> parseNumber(std::string_view Text) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data(), End, Value);
  if (Text.empty() || Result.ec != std::errc() || Result.ptr != End)
    return std::nullopt;
  return Value;
}

std::uint64_t parseEtag(const std::string &Text) {
  if (Text.size() > 2 && Text.front() == '"' && Text.back() == '"')
    if (auto Value = parseNumber({Text.data() + 1, Text.size() - 2}))
      return *Value;
  throw ApiError(BadRequest, "bad-request",
                 "If-Match must be one revision in double quotes, or *",
                 "If-Match");
}

} // namespace

std::optional<std::string> ApiRequest::header(std::string_view Name) const {
  const std::string *Value = http::findHeader(m_Http->m_Headers, Name);
  return Value == nullptr ? std::nullopt : std::optional(*Value);
}

std::uint64_t ApiRequest::queryNumber(const std::string &Name,
                                      std::uint64_t Default) const {
  auto Found = m_Query.find(Name);
  if (Found == m_Query.end())
    return Default;
  if (auto Value = parseNumber(Found->second))
    return *Value;
  throw ApiError(BadRequest, "bad-request", Name + " must be a number", Name);
}

model::ResourceKind ApiRequest::kind() const {
  if (!m_Segments.empty())
    if (auto Kind = model::ResourceKindNames.valueOf(m_Segments.front()))
      return *Kind;
  throw ApiError(NotFound, "not-found", "there is no such kind of resource");
}

ApiRequest parseApiRequest(const http::HttpRequest &Request) {
  std::string_view Path = Request.m_Path;
  const std::size_t Mark = Path.find('?');
  ApiRequest Parsed{.m_Method = Request.m_Method, .m_Http = &Request};
  if (Mark != std::string_view::npos) {
    for (const std::string &Each : split(Path.substr(Mark + 1), '&')) {
      const std::size_t Equals = Each.find('=');
      if (Equals != std::string::npos)
        Parsed.m_Query[Each.substr(0, Equals)] = Each.substr(Equals + 1);
    }
    Path = Path.substr(0, Mark);
  }
  if (!Path.starts_with(Root))
    throw ApiError(NotFound, "not-found", "the API is at /v1/");
  Parsed.m_Segments = split(Path.substr(Root.size()), '/');
  return Parsed;
}

Precondition preconditionOf(const ApiRequest &Request) {
  const auto IfMatch = Request.header("If-Match");
  const auto IfNoneMatch = Request.header("If-None-Match");
  if (IfMatch && IfNoneMatch)
    throw ApiError(BadRequest, "bad-request",
                   "If-Match and If-None-Match exclude each other",
                   "If-None-Match");
  if (IfNoneMatch && *IfNoneMatch != "*")
    throw ApiError(BadRequest, "bad-request",
                   "If-None-Match of a change must be *", "If-None-Match");
  if (IfNoneMatch)
    return {.m_Revision = 0};
  if (IfMatch && *IfMatch == "*")
    return {.m_MustExist = true};
  if (IfMatch)
    return {.m_Revision = parseEtag(*IfMatch)};
  return {};
}

std::string etagOf(std::uint64_t Revision) {
  return fmt::format("\"{}\"", Revision);
}

} // namespace knapweedloft::app
