#include "CallTracker.h"

#include "harness/CheckedAnswer.h"

#include "fmt/format.h"

#include <algorithm>
#include <utility>

namespace knapweedloft::caller {
namespace {

constexpr std::size_t MaxConnections = 512;
constexpr std::size_t SpareAnswerBytes = 65536;

/// What a refusal says of itself.
struct Refusal {
  std::string m_Reason;
  std::string m_Ran = "unknown";
};

Refusal parseRefusal(const http::HttpResponse &Response) {
  auto Body = nlohmann::json::parse(Response.m_Body, nullptr, false);
  if (!Body.is_object() || !Body.contains("reason"))
    return {.m_Reason = "target"};
  return {.m_Reason = Body.value("reason", std::string()),
          .m_Ran = Body.value("ran", std::string("unknown"))};
}

} // namespace

CallTracker::CallTracker(const LoadPlan &Plan)
    : m_Plan(Plan),
      m_Client({.m_MaxBodyBytes = Plan.m_AnswerBytes + SpareAnswerBytes,
                .m_MaxIdleConnections = MaxConnections,
                .m_MaxConnections = MaxConnections,
                .m_ThreadName = "caller"}) {}

void CallTracker::startCall(const CallingCustomer &Customer) {
  Call Started{.m_Customer = &Customer, .m_Attempt = 0};
  {
    absl::MutexLock Lock(&m_Mutex);
    Started.m_Number = ++m_LastNumber;
    ++m_Open;
    ++m_Report.m_Customers[Customer.m_Name].m_Calls;
  }
  send(std::move(Started));
}

http::HttpRequest CallTracker::makeRequest(const Call &Sent) const {
  http::HttpRequest Request;
  Request.m_Method = m_Plan.m_Method;
  Request.m_Path = m_Plan.m_Path;
  Request.m_Body.assign(m_Plan.m_BodyBytes, 'b');
  Request.m_Headers = {{std::string(harness::CallIdHeader), Sent.m_Id},
                       {std::string(harness::AnswerBytesHeader),
                        std::to_string(m_Plan.m_AnswerBytes)}};
  if (!Sent.m_Customer->m_Key.empty())
    Request.m_Headers.push_back(
        {"Authorization", "Bearer " + Sent.m_Customer->m_Key});
  return Request;
}

void CallTracker::send(Call Sent) {
  Sent.m_Id = fmt::format("{}-{}-{}-{}", Sent.m_Customer->m_Name, m_Plan.m_Seed,
                          Sent.m_Number, Sent.m_Attempt);
  const std::string &Base =
      m_Plan.m_Bases[(Sent.m_Number + Sent.m_Attempt) % m_Plan.m_Bases.size()];
  http::HttpRequest Request = makeRequest(Sent);
  m_Client.send(Base, std::move(Request), m_Plan.m_Timeout,
                [this, Sent = std::move(Sent)](const http::HttpResult &Result) {
                  onResult(Sent, Result);
                });
}

void CallTracker::onResult(Call Ended, const http::HttpResult &Result) {
  {
    absl::MutexLock Lock(&m_Mutex);
    bool HasEnded =
        count(Ended, Result) || Ended.m_Attempt >= Ended.m_Customer->m_Retries;
    if (HasEnded) {
      --m_Open;
      return;
    }
  }
  ++Ended.m_Attempt;
  send(std::move(Ended));
}

bool CallTracker::count(const Call &Ended, const http::HttpResult &Result) {
  CustomerReport &Report = m_Report.m_Customers[Ended.m_Customer->m_Name];
  ++Report.m_Attempts;
  Attempt Record{.m_Id = Ended.m_Id};
  bool IsAnswered = Result.m_Failure == http::Failure::None;
  bool IsSuccess = IsAnswered && Result.m_Response.m_Status == 200;
  if (IsAnswered) {
    m_Report.m_Latencies.push_back(Result.m_Latency);
    Record.m_Status = Result.m_Response.m_Status;
    ++Report.m_ByStatus[std::to_string(Record.m_Status)];
  } else {
    ++Report
          .m_ByStatus[std::string(http::FailureNames.nameOf(Result.m_Failure))];
    Record.m_Ran =
        Result.m_Failure == http::Failure::NotSent ? "no" : "unknown";
  }
  if (IsSuccess) {
    Record.m_Ran = "yes";
    IsSuccess = Result.m_Response.m_Body ==
                harness::checkedAnswer(Ended.m_Id, m_Plan.m_AnswerBytes);
    m_Report.m_WrongAnswers += IsSuccess ? 0 : 1;
    Report.m_Succeeded += IsSuccess ? 1 : 0;
  } else if (IsAnswered) {
    Refusal Said = parseRefusal(Result.m_Response);
    ++Report.m_ByReason[Said.m_Reason];
    Record.m_Ran = Said.m_Ran;
  }
  ++Report.m_ByRan[Record.m_Ran];
  if (m_Plan.m_KeepsAttempts)
    m_Report.m_AttemptList.push_back(std::move(Record));
  return IsSuccess;
}

void CallTracker::awaitAll() {
  absl::MutexLock Lock(&m_Mutex);
  m_Mutex.Await(absl::Condition(
      +[](std::uint64_t *Open) { return *Open == 0; }, &m_Open));
}

LoadReport CallTracker::takeReport() {
  absl::MutexLock Lock(&m_Mutex);
  std::sort(m_Report.m_Latencies.begin(), m_Report.m_Latencies.end());
  return std::move(m_Report);
}

} // namespace knapweedloft::caller
