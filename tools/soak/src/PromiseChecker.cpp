#include "soak/PromiseChecker.h"

#include "harness/CheckedAnswer.h"

#include "fmt/format.h"

#include <utility>

namespace knapweedloft::soak {
namespace {

constexpr int Ok = 200;
constexpr int FirstRedirection = 300;

/// The users' rules: a tenth and 20 beyond rate and burst in any 5 s.
constexpr absl::Duration RateWindow = absl::Seconds(5);
constexpr double RateOver = 1.1;
constexpr double RateSlack = 20;

/// The users' rules: three retries later than this after the third crash.
constexpr unsigned CountedCrashes = 3;
constexpr absl::Duration StabilityWindow = absl::Seconds(3);
constexpr unsigned MaxLateRuns = 3;

/// \returns whether a status promises that the request never runs.
bool isPromise(int Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

} // namespace

void PromiseChecker::breach(const std::string &Line) {
  ++m_Breaches;
  m_OnBreach(Line);
}

void PromiseChecker::onSent(Request Next, absl::Time /*Now*/) {
  std::string CallId = Next.m_CallId;
  m_States[CallId].m_Request = std::move(Next);
}

void PromiseChecker::onPassedOn(const std::string &CallId,
                                const std::string &Vm, absl::Time Now) {
  if (auto Found = m_States.find(CallId); Found != m_States.end())
    Found->second.m_PassedOn[Vm] = Now;
}

absl::Time PromiseChecker::passedOnAt(const std::string &CallId,
                                      const std::string &Vm,
                                      absl::Time Now) const {
  auto Found = m_States.find(CallId);
  if (Found == m_States.end())
    return Now;
  auto Sent = Found->second.m_PassedOn.find(Vm);
  return Sent == Found->second.m_PassedOn.end() ? Now : Sent->second;
}

void PromiseChecker::onRun(const std::string &CallId, const std::string &Target,
                           absl::Time Now) {
  ++m_Runs;
  auto Found = m_States.find(CallId);
  if (Found == m_States.end())
    return breach(
        fmt::format("id={} ran at {}: nobody sent it", CallId, Target));
  State &Of = Found->second;
  if (++Of.m_Runs > 1 && !Of.m_Request.m_MayRepeat)
    breach(fmt::format("id={} ran {} times, now at {}: it may run once", CallId,
                       Of.m_Runs, Target));
  if (isPromise(Of.m_Status))
    breach(fmt::format("id={} runs at {} after its caller was told {}", CallId,
                       Target, Of.m_Status));
  if (Of.m_Runs == 1)
    checkRate(Of.m_Request.m_Customer, Now);
}

void PromiseChecker::onCrash(const std::string &Name, const std::string &CallId,
                             absl::Time Now) {
  Crashes &Of = m_Crashes[Name];
  if (++Of.m_Count == CountedCrashes)
    Of.m_Third = Now;
  bool IsLate = Of.m_Count > CountedCrashes &&
                Now > Of.m_Third + StabilityWindow &&
                m_States[CallId].m_Request.m_IsInTouch;
  if (IsLate && ++Of.m_Late > MaxLateRuns)
    breach(fmt::format("id={} is the same request as {} others that crashed "
                       "their targets",
                       CallId, Of.m_Count - 1));
}

void PromiseChecker::checkRate(const std::string &Customer, absl::Time Now) {
  auto Limit = m_Rates.find(Customer);
  if (Limit == m_Rates.end() || Limit->second.m_PerSecond <= 0)
    return;
  std::deque<absl::Time> &Taken = m_Taken[Customer];
  Taken.push_back(Now);
  while (Now - Taken.front() > RateWindow)
    Taken.pop_front();
  double Allowed =
      (Limit->second.m_PerSecond * absl::ToDoubleSeconds(RateWindow) +
       Limit->second.m_Burst) *
          RateOver +
      RateSlack;
  if (static_cast<double>(Taken.size()) <= Allowed)
    return;
  breach(fmt::format("customer={} ran {} requests in 5 s, allowed {:.0f}",
                     Customer, Taken.size(), Allowed));
  Taken.clear(); // One line for each excess.
}

void PromiseChecker::onAnswer(const std::string &CallId,
                              const http::HttpResponse &Answer,
                              absl::Time /*Now*/) {
  State &Of = m_States.at(CallId);
  Of.m_Status = Answer.m_Status;
  ++m_Answered;
  if (isPromise(Of.m_Status) && Of.m_Runs > 0 && !Of.m_Request.m_MayRepeat)
    breach(fmt::format("id={} was answered {} though it ran", CallId,
                       Of.m_Status));
  if (Of.m_Status < Ok || Of.m_Status >= FirstRedirection)
    return;
  ++m_Succeeded;
  std::string Whole =
      harness::checkedAnswer(CallId, Of.m_Request.m_AnswerBytes);
  if (Answer.m_Body != Whole)
    breach(fmt::format("id={} got {} bytes that are not its whole answer of {}",
                       CallId, Answer.m_Body.size(), Whole.size()));
  if (Of.m_Runs == 0)
    breach(fmt::format("id={} was answered {} though it never ran", CallId,
                       Of.m_Status));
}

} // namespace knapweedloft::soak
