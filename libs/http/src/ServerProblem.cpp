#include "ServerProblem.h"

#include "fmt/format.h"

namespace knapweedloft::http {
namespace {

std::string_view titleOf(int Status) {
  switch (Status) {
  case 400:
    return "Bad Request";
  case 413:
    return "Content Too Large";
  case 431:
    return "Request Header Fields Too Large";
  default:
    return "Internal Server Error";
  }
}

} // namespace

HttpResponse serverProblem(int Status, model::RefusalReason Reason,
                           model::Ran Ran) {
  HttpResponse Response;
  Response.m_Status = Status;
  Response.m_Headers.push_back({"Content-Type", "application/problem+json"});
  Response.m_Body = fmt::format(
      R"({{"type":"about:blank","title":"{}","status":{},"reason":"{}","ran":"{}"}})",
      titleOf(Status), Status, model::RefusalReasonNames.nameOf(Reason),
      model::RanNames.nameOf(Ran));
  return Response;
}

} // namespace knapweedloft::http
