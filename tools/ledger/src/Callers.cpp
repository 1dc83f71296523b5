#include "ledger/Callers.h"

#include "harness/CheckedAnswer.h"

#include "absl/time/clock.h"
#include "fmt/format.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace knapweedloft::ledger {
namespace {

constexpr std::size_t AnswerBytes = 400;
constexpr absl::Duration CallTimeout = absl::Seconds(8);
constexpr unsigned KeyedPercent = 20;
constexpr unsigned IdempotentPercent = 20;

CallKind kindFor(std::uint64_t Draw) {
  std::uint64_t Percent = Draw % 100;
  if (Percent < KeyedPercent)
    return CallKind::Keyed;
  if (Percent < KeyedPercent + IdempotentPercent)
    return CallKind::Idempotent;
  return CallKind::Plain;
}

CallEnd refusalEnd(const http::HttpResponse &Response) {
  auto Problem = nlohmann::json::parse(Response.m_Body, nullptr, false);
  if (!Problem.is_object() || !Problem.contains("ran"))
    return CallEnd::Wrong;
  return Problem["ran"] == "no" ? CallEnd::NotRun : CallEnd::Unknown;
}

CallEnd endOf(const CallRecord &Call, const http::HttpResult &Result) {
  switch (Result.m_Failure) {
  case http::Failure::None:
    break;
  case http::Failure::NotSent:
    return CallEnd::NotSent;
  default:
    return CallEnd::None;
  }
  if (Result.m_Response.m_Status != 200)
    return refusalEnd(Result.m_Response);
  bool IsOwn = Result.m_Response.m_Body ==
               harness::checkedAnswer(Call.m_Id, AnswerBytes);
  return IsOwn ? CallEnd::Whole : CallEnd::Wrong;
}

} // namespace

Callers::Callers(Plan Settings)
    : m_Plan(std::move(Settings)), m_Random(m_Plan.m_Seed), m_Client({}) {
  m_Records.resize(m_Plan.m_Calls);
  absl::MutexLock Lock(&m_Mutex);
  for (std::size_t Index = 0; Index < m_Records.size(); ++Index) {
    m_Records[Index].m_Id = fmt::format("s{}-{}", m_Plan.m_Seed, Index);
    m_Records[Index].m_Kind = kindFor(m_Random());
  }
}

void Callers::run() {
  absl::Time Begun = absl::Now();
  absl::Duration Interval = absl::Seconds(1 / m_Plan.m_PerSecond);
  for (std::size_t Index = 0; Index < m_Records.size(); ++Index) {
    absl::SleepFor(Begun + static_cast<double>(Index) * Interval - absl::Now());
    awaitEnded(Index + 1 < m_Plan.m_AtOnce ? 0 : Index + 1 - m_Plan.m_AtOnce);
    send(Index);
  }
  awaitEnded(m_Records.size());
  for (unsigned Pass = 0; Pass < m_Plan.m_Passes; ++Pass)
    sendUnansweredAgain();
}

void Callers::sendUnansweredAgain() {
  absl::Duration Interval = absl::Seconds(1 / m_Plan.m_PerSecond);
  for (std::size_t Index = 0; Index < m_Records.size(); ++Index) {
    const CallRecord &Call = m_Records[Index];
    if (Call.m_Kind != CallKind::Idempotent ||
        Call.m_Ends.back() == CallEnd::Whole)
      continue;
    absl::SleepFor(Interval);
    --m_Ended;
    send(Index);
  }
  awaitEnded(m_Records.size());
}

std::map<std::string, std::uint64_t> Callers::reasons() {
  absl::MutexLock Lock(&m_Mutex);
  return m_Reasons;
}

void Callers::noteReason(const http::HttpResult &Result) {
  if (Result.m_Failure != http::Failure::None ||
      Result.m_Response.m_Status == 200)
    return;
  auto Problem =
      nlohmann::json::parse(Result.m_Response.m_Body, nullptr, false);
  absl::MutexLock Lock(&m_Mutex);
  if (Problem.is_object())
    ++m_Reasons[Problem.value("reason", "none")];
}

std::uint64_t Callers::unansweredIdempotent() const {
  return std::count_if(m_Records.begin(), m_Records.end(),
                       [](const CallRecord &Call) {
                         return Call.m_Kind == CallKind::Idempotent &&
                                Call.m_Ends.back() != CallEnd::Whole;
                       });
}

void Callers::awaitEnded(std::uint64_t Count) {
  auto IsDone = [this, Count] { return m_Ended >= Count; };
  absl::MutexLock Lock(&m_Mutex);
  m_Mutex.Await(absl::Condition(&IsDone));
}

http::HttpRequest Callers::requestFor(const CallRecord &Call) const {
  http::HttpRequest Request;
  bool IsIdempotent = Call.m_Kind == CallKind::Idempotent;
  Request.m_Method = IsIdempotent ? "GET" : "POST";
  Request.m_Path = (IsIdempotent ? "/catalogue/" : "/orders/") + Call.m_Id;
  Request.m_Headers = m_Plan.m_Authorization;
  Request.m_Headers.push_back({std::string(harness::CallIdHeader), Call.m_Id});
  Request.m_Headers.push_back(
      {std::string(harness::AnswerBytesHeader), std::to_string(AnswerBytes)});
  if (Call.m_Kind == CallKind::Keyed)
    Request.m_Headers.push_back({"Idempotency-Key", Call.m_Id});
  if (!IsIdempotent)
    Request.m_Body = "order " + Call.m_Id;
  return Request;
}

void Callers::send(std::size_t Index) {
  std::size_t Through = 0;
  {
    absl::MutexLock Lock(&m_Mutex);
    Through = m_Random() % m_Plan.m_Bases.size();
  }
  m_Client.send(m_Plan.m_Bases[Through], requestFor(m_Records[Index]),
                CallTimeout, [this, Index](const http::HttpResult &Result) {
                  onResult(Index, Result);
                });
}

bool Callers::isSentAgain(const CallRecord &Call) const {
  CallEnd Last = Call.m_Ends.back();
  if (Call.m_Ends.size() >= m_Plan.m_MaxSendings)
    return false;
  if (Last == CallEnd::NotSent)
    return true;
  return Call.m_Kind == CallKind::Keyed && Last != CallEnd::Whole &&
         Last != CallEnd::Wrong;
}

void Callers::onResult(std::size_t Index, const http::HttpResult &Result) {
  CallRecord &Call = m_Records[Index];
  Call.m_Ends.push_back(endOf(Call, Result));
  noteReason(Result);
  if (isSentAgain(Call)) {
    send(Index);
    return;
  }
  absl::MutexLock Lock(&m_Mutex);
  ++m_Ended;
}

} // namespace knapweedloft::ledger
