#include "ChangeReport.h"

#include <fmt/format.h>

namespace knapweedloft {
namespace {

constexpr int BadRequest = 400;
constexpr int NotFound = 404;
constexpr int Conflict = 409;
constexpr int PreconditionFailed = 412;
constexpr int GatewayTimeout = 504;

ExitCode codeOf(int Status) {
  switch (Status) {
  case BadRequest:
    return ExitCode::BadUsage;
  case NotFound:
  case Conflict:
  case PreconditionFailed:
    return ExitCode::Refused;
  case GatewayTimeout:
    return ExitCode::NotInTime;
  default:
    return ExitCode::Failed;
  }
}

} // namespace

ExitCode reportAnswer(const std::optional<ApiAnswer> &Answer,
                      const std::string &What) {
  if (!Answer) {
    fmt::print(stderr, "knapweedloft: {}: no daemon answered\n", What);
    return ExitCode::Failed;
  }
  if (Answer->isSuccess())
    return ExitCode::Ok;
  fmt::print(stderr, "knapweedloft: {}: {}\n", What, Answer->reason());
  return codeOf(Answer->m_Status);
}

ExitCode reportChange(const std::optional<ApiAnswer> &Answer,
                      const http::HttpRequest &Change, const std::string &What,
                      const ApiClient &Client) {
  ExitCode Code = reportAnswer(Answer, What);
  if (!Answer && Client.mayHaveArrived())
    Code = ExitCode::NotInTime;
  const std::string *ChangeId = http::findHeader(Change.m_Headers, "Change-Id");
  if (Code == ExitCode::NotInTime && ChangeId != nullptr)
    fmt::print(stderr,
               "the change may come into force; repeat it with --change-id {} "
               "to learn\n",
               *ChangeId);
  return Code;
}

} // namespace knapweedloft
