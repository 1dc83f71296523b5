#include "target/TargetServer.h"

#include "harness/CheckedAnswer.h"

#include "absl/time/clock.h"
#include "fmt/format.h"

#include <charconv>
#include <cstdlib>
#include <nlohmann/json.hpp>
#include <utility>

namespace knapweedloft::target {
namespace {

constexpr std::string_view AnnouncePath = "/.well-known/knapweedloft/announce";
constexpr absl::Duration CallTimeout = absl::Seconds(30);
constexpr int SlowFactor = 20;
constexpr int CrashExitCode = 134;
constexpr std::size_t MaxAnswerBytes = 1 << 24;
/// Fields of a request that go on to the next service.
constexpr const char *PassedOn[] = {"Knapweedloft-Context", "traceparent",
                                    "tracestate", "X-Call-Id",
                                    "X-Answer-Bytes"};

std::string headerOr(const http::HttpRequest &Request, std::string_view Name,
                     std::string_view Default) {
  const std::string *Value = http::findHeader(Request.m_Headers, Name);
  return Value == nullptr ? std::string(Default) : *Value;
}

std::string callIdOf(const http::HttpRequest &Request) {
  return headerOr(Request, harness::CallIdHeader, "none");
}

http::HttpResponse checkedResponse(const http::HttpRequest &Request) {
  std::string Text = headerOr(Request, harness::AnswerBytesHeader, "0");
  std::size_t Bytes = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Bytes);
  return {.m_Status = 200,
          .m_Headers = {{"Content-Type", "text/plain"}},
          .m_Body = harness::checkedAnswer(callIdOf(Request),
                                           std::min(Bytes, MaxAnswerBytes))};
}

http::HttpResponse jsonResponse(int Status, std::string Body) {
  return {.m_Status = Status,
          .m_Headers = {{"Content-Type", "application/json"}},
          .m_Body = std::move(Body)};
}

http::HttpServer::Options
serverOptions(const TargetOptions &Settings,
              std::function<void(http::HttpExchange)> OnRequest) {
  http::HttpServer::Options Options;
  Options.m_Address = Settings.m_Address;
  Options.m_Port = Settings.m_Port;
  Options.m_Threads = Settings.m_Threads;
  Options.m_ThreadName = "target";
  Options.m_OnRequest = std::move(OnRequest);
  return Options;
}

} // namespace

TargetServer::TargetServer(TargetOptions Settings)
    : m_Settings(std::move(Settings)),
      m_Instance(static_cast<std::uint64_t>(absl::ToUnixNanos(absl::Now()))),
      m_WorkMicroseconds(absl::ToInt64Microseconds(m_Settings.m_WorkTime)),
      m_Ledger(m_Settings.m_Journal),
      m_Client({.m_MaxBodyBytes = MaxAnswerBytes}),
      m_Slots(m_Settings.m_ColdTime > absl::ZeroDuration()
                  ? m_Settings.m_ColdSlots
                  : m_Settings.m_Slots),
      m_Server(serverOptions(m_Settings, [this](http::HttpExchange Exchange) {
        onRequest(std::move(Exchange));
      })) {}

void TargetServer::endColdStart() { m_Slots.setSlots(m_Settings.m_Slots); }

void TargetServer::announce(const std::string &State) {
  if (m_Settings.m_Daemon.empty())
    return;
  nlohmann::json Body = {{"service", m_Settings.m_Service},
                         {"address", m_Settings.m_Address},
                         {"port", m_Server.port()},
                         {"state", State},
                         {"instance", m_Instance}};
  m_Client.send("http://" + m_Settings.m_Daemon,
                {.m_Method = "POST",
                 .m_Path = std::string(AnnouncePath),
                 .m_Headers = {{"Content-Type", "application/json"}},
                 .m_Body = Body.dump()},
                absl::Seconds(1), [](const http::HttpResult &) {});
}

absl::Duration TargetServer::workTime() const {
  absl::Duration Time = absl::Microseconds(m_WorkMicroseconds.load());
  return m_Mode == Mode::Slow ? SlowFactor * Time : Time;
}

bool TargetServer::isCrash(const http::HttpRequest &Request) const {
  const std::string &Text = m_Settings.m_CrashOn;
  return !Text.empty() && (Request.m_Path.find(Text) != std::string::npos ||
                           Request.m_Body.find(Text) != std::string::npos);
}

void TargetServer::onRequest(http::HttpExchange Exchange) {
  const http::HttpRequest &Request = Exchange.request();
  if (Request.m_Path == "/ledger")
    Exchange.answer(jsonResponse(200, m_Ledger.toJson()));
  else if (Request.m_Path == "/control")
    onControl(std::move(Exchange));
  else
    work(std::move(Exchange));
}

void TargetServer::onControl(http::HttpExchange Exchange) {
  auto Body = nlohmann::json::parse(Exchange.request().m_Body, nullptr, false);
  if (!Body.is_object()) {
    Exchange.answer(jsonResponse(400, R"({"error":"no JSON object"})"));
    return;
  }
  auto NewMode = ModeNames.valueOf(Body.value("mode", std::string("ok")));
  if (NewMode)
    m_Mode = *NewMode;
  if (Body.contains("work_ms"))
    m_WorkMicroseconds =
        static_cast<std::int64_t>(Body["work_ms"].get<double>() * 1000);
  if (Body.contains("slots"))
    m_Slots.setSlots(Body["slots"].get<unsigned>());
  Exchange.answer(jsonResponse(200, "{}"));
}

void TargetServer::work(http::HttpExchange Exchange) {
  const http::HttpRequest &Request = Exchange.request();
  if (http::findHeader(Request.m_Headers, "Authorization") != nullptr)
    m_Ledger.onKeySeen();
  auto IsGone = std::make_shared<std::atomic<bool>>(false);
  Exchange.onHangUp([IsGone] { *IsGone = true; });
  WorkSlots::Job Job;
  Job.m_WorkTime = workTime();
  Job.m_OnStart = [this, Exchange, IsGone] {
    if (*IsGone)
      return false;
    m_Ledger.onStart(callIdOf(Exchange.request()));
    if (isCrash(Exchange.request()))
      std::_Exit(CrashExitCode);
    return true;
  };
  Job.m_OnEnd = [this, Exchange] { finish(Exchange); };
  if (Job.m_WorkTime > absl::ZeroDuration()) {
    m_Slots.submit(std::move(Job));
    return;
  }
  if (Job.m_OnStart())
    Job.m_OnEnd();
}

void TargetServer::finish(http::HttpExchange Exchange) {
  const http::HttpRequest &Request = Exchange.request();
  if (m_Mode == Mode::Stop)
    return;
  m_Ledger.onEnd(callIdOf(Request));
  if (m_Mode == Mode::Fail)
    Exchange.answer(jsonResponse(500, R"({"error":"told to fail"})"));
  else if (m_Settings.m_Calls.empty())
    Exchange.answer(checkedResponse(Request));
  else
    callNext(std::move(Exchange));
}

void TargetServer::callNext(http::HttpExchange Exchange) {
  const http::HttpRequest &Request = Exchange.request();
  http::HttpRequest Next;
  Next.m_Method = Request.m_Method;
  Next.m_Path = m_Settings.m_Calls;
  Next.m_Body = Request.m_Body;
  for (const char *Name : PassedOn)
    if (const std::string *Value = http::findHeader(Request.m_Headers, Name))
      Next.m_Headers.push_back({Name, *Value});
  auto Call = m_Client.send(
      "http://" + m_Settings.m_Daemon, std::move(Next), CallTimeout,
      [Exchange](http::HttpResult Result) mutable {
        if (Result.m_Failure == http::Failure::None)
          Exchange.answer(std::move(Result.m_Response));
        else
          Exchange.answer(jsonResponse(502, R"({"error":"call failed"})"));
      });
  Exchange.onHangUp([this, Call] { m_Client.cancel(Call); });
}

} // namespace knapweedloft::target
