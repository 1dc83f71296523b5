#include "soak/Soak.h"

#include "adapter/WireNames.h"
#include "harness/CheckedAnswer.h"
#include "http/MessageText.h"
#include "io/MonotonicClock.h"
#include "standins/Documents.h"

#include "fmt/format.h"

namespace knapweedloft::soak {
namespace {

/// A request without an answer so long past its time is lost.
constexpr absl::Duration AnswerSlack = absl::Milliseconds(500);
/// What an ending daemon reads later than this after it was sent is owed an
/// answer; the users' rules name the same span.
constexpr absl::Duration CrossingTime = absl::Milliseconds(200);
/// A version is in force so long after the operator was told that it is kept.
constexpr absl::Duration InForceWithin = absl::Seconds(10);
constexpr absl::Duration ProbeEvery = absl::Seconds(1);
constexpr int NotFound = 404;
constexpr int Unauthorized = 401;

/// Parts of the requests; the rest are lookups.
constexpr double ReadsPart = 0.4;
constexpr double OrdersPart = 0.35;
/// Of a VM's requests those of the customer with a rate.
constexpr double SmallPart = 0.1;
constexpr double HotPart = 0.5;
/// Failed requests that partners' software sends again without a pause.
constexpr double ResentPart = 0.5;
/// Of all requests those that crash their targets; they are two, sent over and
/// over.
constexpr double CrashingPart = 0.004;
constexpr absl::Duration StabilityWindow = absl::Seconds(3);

} // namespace

void Soak::configure(absl::Time Now) {
  std::string Name = fmt::format("v{}", m_Catalog.m_Version);
  mesh::CatalogRoute Added = m_Catalog.m_Routes[0];
  Added.m_Name = Name;
  Added.m_PathPrefix = "/" + Name + "/";
  m_Catalog.m_Routes.push_back(Added);
  ++m_Catalog.m_Version;
  m_ConfiguredAt = Now;
  writeCatalog();
}

void Soak::writeCatalog() {
  m_Store.put(std::string(adapter::OperatorTopic),
              std::string(adapter::ConfigKey), standins::configText(m_Catalog));
}

void Soak::callLater(std::size_t Vm) {
  std::exponential_distribution<double> Gap(m_Settings.m_RequestsPerSecond);
  later(absl::Seconds(Gap(m_Random)), [this, Vm] {
    sendOne(Vm);
    callLater(Vm);
  });
}

void Soak::sendOne(std::size_t Vm) {
  double Turn = draw(0, 1);
  Asked Next;
  Next.m_Vm = Vm;
  if (draw(0, 1) < CrashingPart) {
    Next.m_Request = {.m_Customer = "acme", .m_MayRepeat = true};
    return send(std::move(Next), "GET",
                fmt::format("{}{}", CrashingPathPrefix, m_LastCall % 2),
                "acme-key");
  }
  std::string Route = Turn < ReadsPart                ? "reads"
                      : Turn < ReadsPart + OrdersPart ? "orders"
                                                      : "lookups";
  Next.m_Request.m_MayRepeat = Route != "orders";
  bool IsSmall = draw(0, 1) < (m_IsHot ? HotPart : SmallPart);
  Next.m_Request.m_Customer = IsSmall ? "small" : "acme";
  Next.m_Request.m_AnswerBytes =
      static_cast<std::size_t>(draw(0, 1) < 0.05 ? 200'000 : draw(20, 2000));
  send(std::move(Next), "GET", fmt::format("/{}/{}", Route, m_LastCall),
       IsSmall ? "small-key" : "acme-key");
}

void Soak::send(Asked Next, const std::string &Method, const std::string &Path,
                const std::string &Key) {
  absl::Time Now = io::monotonicNow();
  absl::Duration Wait = drawTime(1, 2.5);
  Next.m_Request.m_CallId =
      fmt::format("s{}-{}", m_Settings.m_Seed, ++m_LastCall);
  Next.m_Sent = Now;
  Next.m_End = Now + Wait;
  Next.m_Request.m_IsInTouch =
      m_Vms[Next.m_Vm]->wasCalm(Now - StabilityWindow, Now);
  m_Checker.onSent(Next.m_Request, Now);
  http::HttpRequest Request;
  Request.m_Method = Method;
  Request.m_Path = Path;
  Request.m_Headers = {{"Host", "site"},
                       {m_Names.m_CallId, Next.m_Request.m_CallId},
                       {m_Names.m_RemainingTime,
                        fmt::format("{}", absl::ToInt64Milliseconds(Wait))},
                       {m_Names.m_Key, m_Names.m_KeyScheme + Key},
                       {std::string(harness::AnswerBytesHeader),
                        fmt::format("{}", Next.m_Request.m_AnswerBytes)}};
  m_Callers.send({.m_To = m_Vms[Next.m_Vm]->callers(),
                  .m_Text = http::requestText(Request),
                  .m_Timeout = Wait + AnswerSlack},
                 [this, Next](const http::HttpResult &Result, absl::Time At) {
                   onResult(Next, Result, At);
                 });
}

void Soak::onResult(const Asked &Of, const http::HttpResult &Result,
                    absl::Time Now) {
  const std::string &Id = Of.m_Request.m_CallId;
  SoakVm &Vm = *m_Vms[Of.m_Vm];
  bool IsCalm = Vm.wasCalm(Of.m_Sent, Now);
  // What crosses the end of a daemon that was asked to stop is not read.
  bool IsCrossing = Vm.isStopping() && !m_Checker.hasRun(Id) &&
                    Now - Of.m_Sent < CrossingTime;
  bool IsSuccess = false;
  if (Result.m_Failure == http::Failure::None) {
    int Status = Result.m_Response.m_Status;
    IsSuccess = Status == 200;
    m_Checker.onAnswer(Id, Result.m_Response, Now);
    // One that has no configuration yet answers 503.
    if (Status == NotFound || Status == Unauthorized)
      m_Checker.breach(fmt::format("id={} at {} was answered {} though its "
                                   "route and key were never taken away",
                                   Id, Vm.name(), Status));
  } else if (IsCalm && !IsCrossing && m_Settings.m_ChecksTimes) {
    m_Checker.breach(fmt::format("id={} at {} got no answer: {} after {:.3f} s",
                                 Id, Vm.name(),
                                 http::FailureNames.nameOf(Result.m_Failure),
                                 absl::ToDoubleSeconds(Now - Of.m_Sent)));
  }
  bool IsCounted =
      Of.m_Sent >= m_CountsFrom && Of.m_Request.m_Customer != "small";
  m_EndSent += IsCounted ? 1 : 0;
  m_EndSucceeded += IsCounted && IsSuccess ? 1 : 0;
  if (IsSuccess || m_IsCalm || draw(0, 1) > ResentPart || !Vm.isRunning())
    return;
  sendOne(Of.m_Vm);
}

void Soak::probe() {
  later(ProbeEvery, [this] { probe(); });
  absl::Time Now = io::monotonicNow();
  if (!m_Settings.m_ChecksTimes || Now - m_ConfiguredAt < InForceWithin)
    return;
  std::string Newest = m_Catalog.m_Routes.back().m_Name;
  for (std::size_t Index = 0; Index < m_Vms.size(); ++Index) {
    if (Now - m_Vms[Index]->calmSince() < InForceWithin)
      continue;
    // A 404 on it is a breach, as on any route.
    Asked Next;
    Next.m_Vm = Index;
    Next.m_Request.m_MayRepeat = true;
    Next.m_Request.m_Customer = "acme";
    send(std::move(Next), "GET", fmt::format("/{}/probe", Newest), "acme-key");
  }
}

} // namespace knapweedloft::soak
