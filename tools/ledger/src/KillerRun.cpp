#include "ledger/KillerRun.h"

#include "harness/HttpCall.h"

#include "absl/time/clock.h"

#include <nlohmann/json.hpp>
#include <thread>

namespace knapweedloft::ledger {
namespace {

constexpr absl::Duration FirstAfter = absl::Milliseconds(500);
constexpr absl::Duration WatchInterval = absl::Milliseconds(10);
constexpr std::uint64_t MaxSendings = 40;

bool isQuarantined(const http::HttpResult &Result) {
  auto Problem =
      nlohmann::json::parse(Result.m_Response.m_Body, nullptr, false);
  return Problem.is_object() && Problem.value("reason", "") == "quarantined";
}

} // namespace

void KillerRun::run(const std::function<bool()> &IsDone) {
  std::thread Killer([this] { sendAgainAndAgain(); });
  while (!IsDone() || !m_HasEnded) {
    reviveTargets();
    absl::SleepFor(WatchInterval);
  }
  Killer.join();
  reviveTargets();
}

void KillerRun::reviveTargets() {
  for (std::size_t Index = 0; Index < m_Site.site().size(); ++Index) {
    if (m_Site.site().node(Index).m_Target->isRunning())
      continue;
    ++m_Deaths;
    m_Site.restartTarget(Index);
  }
}

void KillerRun::sendAgainAndAgain() {
  absl::SleepFor(FirstAfter);
  std::size_t InRow = 0;
  while (m_Sendings < MaxSendings && InRow < m_Site.site().size()) {
    std::size_t Through = m_Sendings % m_Site.site().size();
    auto Result = harness::httpCall(
        m_Site.site().node(Through).m_CallerPort,
        {.m_Method = "POST",
         .m_Path = "/orders/ends-the-target",
         .m_Headers = {{"Authorization", "Bearer " + m_Site.key()},
                       {"X-Call-Id", "killer"}}});
    ++m_Sendings;
    InRow = isQuarantined(Result) ? InRow + 1 : 0;
  }
  m_IsPutAside = InRow == m_Site.site().size();
  m_HasEnded = true;
}

bool KillerRun::isListed() {
  auto Result =
      harness::httpCall(m_Site.site().node(0).m_ApiPort,
                        {.m_Method = "GET", .m_Path = "/v1/quarantines"});
  return Result.m_Response.m_Body.find("in flight at two deaths") !=
         std::string::npos;
}

} // namespace knapweedloft::ledger
