#include "app/RequestHeaders.h"

#include "model/AbslView.h"

#include "absl/strings/match.h"
#include "absl/strings/numbers.h"

#include <array>
#include <cstdint>

namespace knapweedloft::app {
namespace {

constexpr std::string_view BearerScheme = "Bearer ";
constexpr std::string_view OwnPrefix = "Knapweedloft-";

/// Fields that hold for one connection (RFC 9110, section 7.6.1), and those
/// that the next hop's library sets by itself.
constexpr std::array<std::string_view, 11> ConnectionFields = {
    "Connection",
    "Keep-Alive",
    "Proxy-Authenticate",
    "Proxy-Connection",
    "TE",
    "Trailer",
    "Transfer-Encoding",
    "Upgrade",
    "Content-Length",
    "Host",
    "Expect"};

bool isConnectionField(std::string_view Name) {
  for (std::string_view Field : ConnectionFields)
    if (http::isSameName(Name, Field))
      return true;
  return false;
}

bool isOwnField(std::string_view Name) {
  return absl::StartsWithIgnoreCase(model::toAbsl(Name),
                                    model::toAbsl(OwnPrefix));
}

bool isCredential(std::string_view Name) {
  return http::isSameName(Name, AuthorizationHeader) ||
         http::isSameName(Name, "Proxy-Authorization");
}

} // namespace

std::optional<std::string_view> bearerKey(const http::HeaderList &Headers) {
  const std::string *Value = http::findHeader(Headers, AuthorizationHeader);
  if (!Value ||
      !absl::StartsWithIgnoreCase(*Value, model::toAbsl(BearerScheme)))
    return std::nullopt;
  std::string_view Key = *Value;
  Key.remove_prefix(BearerScheme.size());
  if (Key.empty())
    return std::nullopt;
  return Key;
}

std::optional<absl::Duration>
requestedTimeout(const http::HeaderList &Headers) {
  const std::string *Value = http::findHeader(Headers, TimeoutHeader);
  std::int64_t Milliseconds = 0;
  if (!Value || !absl::SimpleAtoi(*Value, &Milliseconds) || Milliseconds <= 0)
    return std::nullopt;
  return absl::Milliseconds(Milliseconds);
}

http::HeaderList headersForTarget(const http::HeaderList &From) {
  http::HeaderList Kept;
  Kept.reserve(From.size());
  for (const http::HeaderField &Field : From)
    if (!isConnectionField(Field.m_Name) && !isOwnField(Field.m_Name) &&
        !isCredential(Field.m_Name))
      Kept.push_back(Field);
  return Kept;
}

http::HeaderList headersForCaller(const http::HeaderList &From) {
  http::HeaderList Kept;
  Kept.reserve(From.size());
  for (const http::HeaderField &Field : From)
    if (!isConnectionField(Field.m_Name) && !isOwnField(Field.m_Name))
      Kept.push_back(Field);
  return Kept;
}

} // namespace knapweedloft::app
