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
  if (Answer->m_Status == GatewayTimeout)
    fmt::print(stderr, "repeat with: --change-id {}\n", Answer->m_ChangeId);
  return codeOf(Answer->m_Status);
}

} // namespace knapweedloft
