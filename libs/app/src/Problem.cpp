#include "app/Problem.h"

#include "nlohmann/json.hpp"

namespace knapweedloft::app {

http::HttpResponse toResponse(const Problem &What) {
  std::string Reason(model::RefusalReasonNames.nameOf(What.m_Reason));
  nlohmann::json Body = {
      {"type", "about:blank"},
      {"title", Reason},
      {"status", model::httpStatusOf(What.m_Reason)},
      {"reason", Reason},
      {"ran", std::string(model::RanNames.nameOf(What.m_Ran))},
      {"detail", What.m_Detail},
  };
  http::HttpResponse Response;
  Response.m_Status = model::httpStatusOf(What.m_Reason);
  Response.m_Headers = {{"Content-Type", "application/problem+json"}};
  if (What.m_RetryAfter > absl::ZeroDuration()) {
    Body["retry_after_ms"] = absl::ToInt64Milliseconds(
        absl::Ceil(What.m_RetryAfter, absl::Milliseconds(1)));
    auto Seconds =
        absl::ToInt64Seconds(absl::Ceil(What.m_RetryAfter, absl::Seconds(1)));
    Response.m_Headers.push_back({"Retry-After", std::to_string(Seconds)});
  }
  if (What.m_Reason == model::RefusalReason::BadKey)
    Response.m_Headers.push_back({"WWW-Authenticate", "Bearer"});
  Response.m_Body =
      Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return Response;
}

} // namespace knapweedloft::app
