#include "DaemonImpl.h"

#include "app/BurnReport.h"
#include "app/Clock.h"

namespace knapweedloft::app {
namespace {

http::HttpResponse text(int Status, std::string_view Type, std::string Body) {
  return {.m_Status = Status,
          .m_Headers = {{"Content-Type", std::string(Type)}},
          .m_Body = std::move(Body)};
}

} // namespace

void Daemon::Impl::handleApi(http::HttpExchange Exchange) {
  const std::string &Path = Exchange.request().m_Path;
  if (Path == "/healthz") {
    Exchange.answer(text(200, "text/plain", "ok\n"));
  } else if (Path == "/readyz") {
    bool IsOk = isReady();
    Exchange.answer(
        text(IsOk ? 200 : 503, "text/plain", IsOk ? "ready\n" : "not ready\n"));
  } else if (Path == "/metrics" || Path == "/v1/burn") {
    answerFigures(Exchange);
  } else {
    m_Api->handle(std::move(Exchange));
  }
}

void Daemon::Impl::answerFigures(http::HttpExchange &Exchange) {
  // Both name customers: they are for operators, like the resources.
  auto Refusal =
      m_ApiAccess.refusalOf(Exchange.request(), Exchange.isFromLoopback());
  if (Refusal)
    Exchange.answer(std::move(*Refusal));
  else if (Exchange.request().m_Path == "/metrics")
    Exchange.answer(text(200, "text/plain; version=0.0.4",
                         toPrometheusText(m_Metrics, gauges())));
  else
    Exchange.answer(text(200, "application/json",
                         toJson(makeBurnReport(m_Metrics, monotonicNow()))));
}

DaemonGauges Daemon::Impl::gauges() {
  DaemonGauges Gauges;
  {
    absl::MutexLock Lock(&m_SharedMutex);
    Gauges = m_Gauges;
  }
  Gauges.m_AppliedOffset = m_Replica.offset();
  Gauges.m_Traffic = m_Links->traffic();
  Gauges.m_IsStateFresh = m_Spread->isTrusted(monotonicNow());
  return Gauges;
}

bool Daemon::Impl::isReady() const {
  return !m_IsStopping && m_Spread->isTrusted(monotonicNow());
}

} // namespace knapweedloft::app
