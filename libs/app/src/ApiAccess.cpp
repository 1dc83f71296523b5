#include "app/ApiAccess.h"

#include "ApiAnswers.h"
#include "state/KeyText.h"

#include <string_view>
#include <utility>

namespace knapweedloft::app {
namespace {

constexpr int Unauthorized = 401;
constexpr int Forbidden = 403;
constexpr std::string_view BearerPrefix = "Bearer ";

} // namespace

ApiAccess::ApiAccess(std::string Token) : m_Token(std::move(Token)) {}

std::optional<http::HttpResponse>
ApiAccess::refusalOf(const http::HttpRequest &Request,
                     bool IsFromLoopback) const {
  if (m_Token.empty()) {
    if (IsFromLoopback)
      return std::nullopt;
    return problemAnswer(
        ApiError(Forbidden, "forbidden",
                 "without an operators' token only loopback is served"));
  }
  if (hasToken(Request))
    return std::nullopt;
  return problemAnswer(ApiError(Unauthorized, "unauthorized",
                                "the operators' token is missing or wrong"));
}

bool ApiAccess::hasToken(const http::HttpRequest &Request) const {
  const std::string *Field =
      http::findHeader(Request.m_Headers, "Authorization");
  if (Field == nullptr || !Field->starts_with(BearerPrefix))
    return false;
  const std::string_view Given =
      std::string_view(*Field).substr(BearerPrefix.size());
  return state::isSameDigest(state::digestOf(Given), state::digestOf(m_Token));
}

} // namespace knapweedloft::app
