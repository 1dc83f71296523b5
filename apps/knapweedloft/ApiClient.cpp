#include "ApiClient.h"

#include "UsageError.h"
#include "app/BaseUrl.h"
#include "app/Clock.h"
#include "state/KeyText.h"

#include "absl/strings/numbers.h"
#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"

#include <arpa/inet.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <memory>
#include <utility>

namespace knapweedloft {
namespace {

constexpr std::size_t ChangeIdDigits = 32;
constexpr std::size_t MaxAnswerBytes = std::size_t{64} << 20;
/// Longest time for one daemon before the next is called; more than a daemon
/// takes to say that it does not know a change's outcome.
constexpr absl::Duration MaxCallTime = absl::Seconds(15);
constexpr absl::Duration RepeatPause = absl::Milliseconds(250);
constexpr int ServiceUnavailable = 503;
constexpr int GatewayTimeout = 504;

bool isIpAddress(const std::string &Text) {
  std::array<std::uint8_t, sizeof(in6_addr)> Parsed{};
  return inet_pton(AF_INET, Text.c_str(), Parsed.data()) == 1 ||
         inet_pton(AF_INET6, Text.c_str(), Parsed.data()) == 1;
}

std::string baseOf(const std::string &Api) {
  const std::size_t Colon = Api.rfind(':');
  std::uint32_t Port = 0;
  std::string Address = Api.substr(0, Colon);
  if (Address.size() > 2 && Address.front() == '[' && Address.back() == ']')
    Address = Address.substr(1, Address.size() - 2);
  const bool IsValid = Colon != std::string::npos &&
                       absl::SimpleAtoi(Api.substr(Colon + 1), &Port) &&
                       Port >= 1 && Port <= UINT16_MAX && isIpAddress(Address);
  if (!IsValid)
    throw UsageError("--api " + Api + ": give an IP number and a port");
  return app::toBaseUrl({Address, static_cast<std::uint16_t>(Port)});
}

bool isOutcomeOpen(const ApiAnswer &Answer) {
  return Answer.m_Status == ServiceUnavailable ||
         Answer.m_Status == GatewayTimeout;
}

ApiAnswer answerOf(const http::HttpResponse &Response) {
  ApiAnswer Answer{.m_Status = Response.m_Status};
  Answer.m_Body = nlohmann::json::parse(Response.m_Body, nullptr, false);
  if (Answer.m_Body.is_discarded())
    Answer.m_Body = nlohmann::json::object();
  if (const auto *Id = http::findHeader(Response.m_Headers, "Change-Id"))
    Answer.m_ChangeId = *Id;
  return Answer;
}

} // namespace

std::string ApiAnswer::reason() const {
  if (!m_Body.is_object() || !m_Body.contains("detail"))
    return fmt::format("the daemon answered {}", m_Status);
  return fmt::format("{}: {}", m_Body.value("code", ""),
                     m_Body.value("detail", ""));
}

ApiClient::ApiClient(const ApiOptions &Options)
    : m_Token(readToken(Options)),
      m_Client({.m_MaxBodyBytes = MaxAnswerBytes, .m_ThreadName = "api"}) {
  for (const std::string &Each : Options.m_Apis)
    m_Bases.push_back(baseOf(Each));
}

std::optional<ApiAnswer> ApiClient::call(http::HttpRequest Request,
                                         absl::Time Deadline) {
  if (!m_Token.empty())
    Request.m_Headers.push_back({"Authorization", "Bearer " + m_Token});
  for (std::size_t Tried = 0; Tried < m_Bases.size(); ++Tried) {
    if (auto Answer = callOne(m_Bases[m_Current], Request, Deadline))
      return Answer;
    m_Current = (m_Current + 1) % m_Bases.size();
  }
  return std::nullopt;
}

std::optional<ApiAnswer> ApiClient::change(const http::HttpRequest &Request,
                                           absl::Time Deadline) {
  std::optional<ApiAnswer> Last;
  while (true) {
    if (auto Answer = call(Request, Deadline))
      Last = std::move(Answer);
    if (Last && !isOutcomeOpen(*Last))
      return Last;
    if (app::monotonicNow() + RepeatPause >= Deadline)
      return Last;
    absl::SleepFor(RepeatPause);
  }
}

std::optional<ApiAnswer> ApiClient::callOne(const std::string &Base,
                                            const http::HttpRequest &Request,
                                            absl::Time Deadline) {
  const absl::Duration Rest = Deadline - app::monotonicNow();
  if (Rest <= absl::ZeroDuration())
    return std::nullopt;
  absl::Notification IsDone;
  http::HttpResult Result;
  m_Client.send(Base, Request, std::min(Rest, MaxCallTime),
                [&IsDone, &Result](http::HttpResult Outcome) {
                  Result = std::move(Outcome);
                  IsDone.Notify();
                });
  IsDone.WaitForNotification();
  if (Result.m_Failure != http::Failure::None) {
    m_MayHaveArrived |= Result.m_Failure != http::Failure::NotSent;
    return std::nullopt;
  }
  return answerOf(Result.m_Response);
}

std::string makeChangeId() {
  return state::makeKeyText().substr(state::KeyPrefix.size(), ChangeIdDigits);
}

} // namespace knapweedloft
