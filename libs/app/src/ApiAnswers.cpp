#include "ApiAnswers.h"

namespace knapweedloft::app {
namespace {

constexpr int Unauthorized = 401;
constexpr int ServiceUnavailable = 503;

} // namespace

std::string textOf(const nlohmann::json &Value) {
  return Value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

http::HttpResponse jsonAnswer(int Status, const nlohmann::json &Body) {
  return {.m_Status = Status,
          .m_Headers = {{"Content-Type", "application/json"},
                        {"Cache-Control", "no-store"}},
          .m_Body = textOf(Body)};
}

http::HttpResponse problemAnswer(const ApiError &Error) {
  nlohmann::json Body = {{"type", "about:blank"},
                         {"title", Error.code()},
                         {"code", Error.code()},
                         {"status", Error.status()},
                         {"detail", Error.what()}};
  if (!Error.field().empty())
    Body["field"] = Error.field();
  http::HttpResponse Answer{
      .m_Status = Error.status(),
      .m_Headers = {{"Content-Type", "application/problem+json"}},
      .m_Body = textOf(Body)};
  if (Error.status() == Unauthorized)
    Answer.m_Headers.push_back({"WWW-Authenticate", "Bearer"});
  if (Error.status() == ServiceUnavailable)
    Answer.m_Headers.push_back({"Retry-After", "1"});
  return Answer;
}

} // namespace knapweedloft::app
