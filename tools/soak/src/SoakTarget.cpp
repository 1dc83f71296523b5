#include "soak/SoakTarget.h"

#include "harness/CheckedAnswer.h"
#include "http/MessageText.h"
#include "io/MonotonicClock.h"
#include "standins/Documents.h"

#include "absl/strings/numbers.h"
#include "fmt/format.h"

#include <algorithm>
#include <utility>

namespace knapweedloft::soak {
namespace {

constexpr absl::Duration ReportEvery = absl::Milliseconds(500);
/// What arrives later than this after a leave was acknowledged is a breach.
constexpr absl::Duration LeaveTime = absl::Seconds(1);
/// How long it serves after that.
constexpr absl::Duration LeaveServes = absl::Seconds(2);

/// The users' rules on the words of a target: a limit binds this long after it
/// was first named, and what a caller sends this long after the word that the
/// target leaves does not reach it.
constexpr absl::Duration LimitWindow = absl::Seconds(3);
constexpr absl::Duration LimitSpan = absl::Seconds(4);
constexpr double LimitOver = 1.5;
constexpr double LimitSlack = 5;
constexpr absl::Duration WordTime = absl::Seconds(2);

std::string fieldOf(const http::ParsedMessage &Request,
                    const std::string &Name) {
  const std::string *Found = http::findHeader(Request.m_Headers, Name);
  return Found ? *Found : std::string();
}

/// \returns the most of some sorted times that lie within \p Span.
std::size_t mostWithin(const std::deque<absl::Time> &Times,
                       absl::Duration Span) {
  std::size_t Most = 0;
  std::size_t First = 0;
  for (std::size_t Last = 0; Last < Times.size(); ++Last) {
    while (Times[Last] - Times[First] > Span)
      ++First;
    Most = std::max(Most, Last - First + 1);
  }
  return Most;
}

} // namespace

SoakTarget::SoakTarget(io::EventLoop &Loop, Options Settings,
                       PromiseChecker &Checker)
    : m_Loop(Loop), m_Settings(std::move(Settings)), m_Checker(Checker),
      m_Random(m_Settings.m_Seed), m_Reports(Loop, {}) {}

SoakTarget::~SoakTarget() { crash(); }

void SoakTarget::later(std::uint64_t Life, absl::Duration After,
                       std::function<void()> Task) {
  m_Loop.post(
      [this, Life, Task = std::move(Task), Alive = std::weak_ptr(m_IsAlive)] {
        if (!Alive.expired() && Life == m_Life && isUp())
          Task();
      },
      After);
}

void SoakTarget::start() {
  if (isUp())
    return;
  ++m_Life;
  m_Sequence = 0;
  m_IsLeaving = false;
  m_LeavesAt = absl::InfiniteFuture();
  m_SaysLeaving = false;
  m_SaidLeavingAt = absl::InfiniteFuture();
  nameLimit(0);
  m_Instance = fmt::format("i-{}-{}", m_Settings.m_Name, m_Life);
  http::LoopServer::Options Options;
  Options.m_At = m_Settings.m_At;
  Options.m_Hooks.m_OnRequest =
      [this](http::ExchangeId Id, http::ParsedMessage Request,
             const std::string &) { onRequest(Id, std::move(Request)); };
  Options.m_Hooks.m_OnGone = [this](http::ExchangeId Id,
                                    http::CallerConnectionEnd) { onGone(Id); };
  m_Server = std::make_unique<http::LoopServer>(m_Loop, std::move(Options));
  report(m_Life, mesh::TargetCondition::Ready);
}

void SoakTarget::crash() {
  m_Running.clear();
  m_Waiting.clear();
  m_Server.reset();
}

void SoakTarget::leave() {
  if (!isUp() || m_IsLeaving)
    return;
  m_IsLeaving = true;
  report(m_Life, mesh::TargetCondition::Draining);
}

void SoakTarget::sayLeaving() {
  if (!isUp() || m_SaysLeaving)
    return;
  m_SaysLeaving = true;
  later(m_Life, 2 * WordTime + LeaveServes, [this] { crash(); });
}

void SoakTarget::nameLimit(double PerSecond) {
  m_RateLimit = PerSecond;
  m_LimitNamedAt = absl::InfiniteFuture();
  m_Limited.clear();
}

void SoakTarget::checkWords(const std::string &CallId, absl::Time Sent) {
  if (m_SaidLeavingAt != absl::InfiniteFuture() &&
      Sent > m_SaidLeavingAt + WordTime &&
      m_Settings.m_IsDaemonCalm(m_SaidLeavingAt, Sent))
    m_Checker.breach(fmt::format("id={} reached {} {} after its answers said "
                                 "that it leaves",
                                 CallId, m_Instance,
                                 absl::FormatDuration(WordTime)));
  if (m_LimitNamedAt == absl::InfiniteFuture() ||
      Sent < m_LimitNamedAt + LimitWindow)
    return;
  m_Limited.insert(std::upper_bound(m_Limited.begin(), m_Limited.end(), Sent),
                   Sent);
  while (m_Limited.back() - m_Limited.front() > 2 * LimitSpan)
    m_Limited.pop_front();
  double Allowed =
      m_RateLimit * absl::ToDoubleSeconds(LimitSpan) * LimitOver + LimitSlack;
  std::size_t Most = mostWithin(m_Limited, LimitSpan);
  if (static_cast<double>(Most) <= Allowed ||
      !m_Settings.m_IsDaemonCalm(m_LimitNamedAt, Sent))
    return;
  m_Checker.breach(fmt::format("{} got {} requests in {}, at a limit of {:.1f} "
                               "a second",
                               m_Instance, Most,
                               absl::FormatDuration(LimitSpan), m_RateLimit));
  m_Limited.clear(); // One line for each excess.
}

void SoakTarget::addWords(http::HttpResponse &Answer, absl::Time Now) {
  const mesh::HeaderNames &Names = m_Settings.m_HeaderNames;
  if (m_SaysLeaving) {
    Answer.m_Headers.push_back({Names.m_Leaving, "1"});
    m_SaidLeavingAt = std::min(m_SaidLeavingAt, Now);
  }
  if (m_RateLimit > 0) {
    Answer.m_Headers.push_back(
        {Names.m_RateLimit, fmt::format("{:.2f}", m_RateLimit)});
    m_LimitNamedAt = std::min(m_LimitNamedAt, Now);
  }
}

mesh::TargetReport SoakTarget::self(mesh::TargetCondition Condition) {
  return {.m_Instance = m_Instance,
          .m_Service = m_Settings.m_Service,
          .m_At = m_Settings.m_Reported,
          .m_Condition = Condition,
          .m_Slots = m_Settings.m_Slots,
          .m_Sequence = ++m_Sequence,
          .m_StartTimeMs = static_cast<std::int64_t>(m_Life)};
}

void SoakTarget::report(std::uint64_t Life, mesh::TargetCondition Condition) {
  mesh::TargetReport Said = self(Condition);
  http::HttpRequest Request;
  Request.m_Method = "PUT";
  Request.m_Path = standins::reportPath(Said);
  Request.m_Headers = {{"Host", m_Settings.m_Control.m_Address}};
  Request.m_Body = standins::reportText(Said);
  auto OnDone = [this, Life, Condition, Alive = std::weak_ptr(m_IsAlive)](
                    const http::HttpResult &Result, absl::Time Now) {
    bool IsTaken = Result.m_Failure == http::Failure::None &&
                   Result.m_Response.m_Status == 200;
    if (Alive.expired() || Life != m_Life || !isUp() ||
        Condition != mesh::TargetCondition::Draining || !IsTaken ||
        m_LeavesAt != absl::InfiniteFuture())
      return;
    m_LeavesAt = Now + LeaveTime;
    later(Life, LeaveTime + LeaveServes, [this] { crash(); });
  };
  m_Reports.send({.m_To = m_Settings.m_Control,
                  .m_Text = http::requestText(Request),
                  .m_Timeout = absl::Seconds(1)},
                 OnDone);
  later(Life, ReportEvery, [this, Life] {
    report(Life, m_IsLeaving ? mesh::TargetCondition::Draining
                             : mesh::TargetCondition::Ready);
  });
}

void SoakTarget::refuse(http::ExchangeId Id, int Status) {
  m_Server->answer(Id,
                   {.m_Status = Status,
                    .m_Headers = {{m_Settings.m_HeaderNames.m_NotRun, "1"},
                                  {m_Settings.m_HeaderNames.m_ReportedInstance,
                                   m_Instance}}});
}

void SoakTarget::onRequest(http::ExchangeId Id, http::ParsedMessage Request) {
  const mesh::HeaderNames &Names = m_Settings.m_HeaderNames;
  if (Request.m_Path == "/health")
    return m_Server->answer(
        Id, {.m_Status = m_IsLeaving ? 503 : 200,
             .m_Headers = {{Names.m_ReportedInstance, m_Instance}}});
  std::string Meant = fieldOf(Request, Names.m_Instance);
  if (!Meant.empty() && Meant != m_Instance)
    return refuse(Id, 421);
  absl::Time Now = io::monotonicNow();
  Work Next{.m_Id = Id,
            .m_CallId = fieldOf(Request, Names.m_CallId),
            .m_Deadline = absl::InfiniteFuture()};
  // A proxy may have held it since.
  absl::Time Sent = m_Checker.passedOnAt(Next.m_CallId, m_Settings.m_Name, Now);
  if (Sent > m_LeavesAt)
    m_Checker.breach(fmt::format("id={} reached {} {} after it said to leave",
                                 Next.m_CallId, m_Instance,
                                 absl::FormatDuration(LeaveTime)));
  checkWords(Next.m_CallId, Sent);
  std::int64_t LeftMs = 0;
  if (absl::SimpleAtoi(fieldOf(Request, Names.m_RemainingTime), &LeftMs))
    Next.m_Deadline = Now + absl::Milliseconds(LeftMs);
  Next.m_Request = std::move(Request);
  if (m_Running.size() < m_Settings.m_Slots)
    return run(Next);
  if (m_Waiting.size() >= m_Settings.m_Queue)
    return refuse(Id, 503);
  m_Waiting.push_back(std::move(Next));
}

void SoakTarget::onGone(http::ExchangeId Id) {
  std::erase_if(m_Waiting, [&](const Work &Held) { return Held.m_Id == Id; });
  if (m_Running.contains(Id))
    finish(Id);
}

void SoakTarget::run(const Work &Next) {
  m_Checker.onRun(Next.m_CallId, m_Instance, io::monotonicNow());
  std::exponential_distribution<double> Length(
      1 / absl::ToDoubleSeconds(m_Settings.m_MeanRun));
  http::ExchangeId Id = Next.m_Id;
  m_Running.emplace(Id, Next);
  if (Next.m_Request.m_Path.starts_with(CrashingPathPrefix)) {
    m_Checker.onCrash(Next.m_Request.m_Path, Next.m_CallId, io::monotonicNow());
    return later(m_Life, absl::ZeroDuration(), [this] { crash(); });
  }
  later(m_Life, absl::Seconds(Length(m_Random)), [this, Id] { finish(Id); });
}

void SoakTarget::finish(http::ExchangeId Id) {
  auto Found = m_Running.find(Id);
  if (Found == m_Running.end())
    return;
  Work Done = std::move(Found->second);
  m_Running.erase(Found);
  const mesh::HeaderNames &Names = m_Settings.m_HeaderNames;
  std::size_t Bytes = 0;
  static_cast<void>(absl::SimpleAtoi(
      fieldOf(Done.m_Request, std::string(harness::AnswerBytesHeader)),
      &Bytes));
  bool IsFailure =
      std::bernoulli_distribution(m_Settings.m_FailurePart)(m_Random);
  http::HttpResponse Answer{.m_Status = IsFailure ? 500 : 200,
                            .m_Headers = {{Names.m_CallId, Done.m_CallId},
                                          {Names.m_OriginProof, m_Instance}}};
  if (!IsFailure)
    Answer.m_Body = harness::checkedAnswer(Done.m_CallId, Bytes);
  addWords(Answer, io::monotonicNow());
  m_Server->answer(Id, Answer);
  while (!m_Waiting.empty() && m_Running.size() < m_Settings.m_Slots) {
    Work Next = std::move(m_Waiting.front());
    m_Waiting.pop_front();
    if (io::monotonicNow() > Next.m_Deadline)
      refuse(Next.m_Id, 503);
    else
      run(Next);
  }
}

} // namespace knapweedloft::soak
