#include "FleetSite.h"

#include "harness/HttpCall.h"
#include "state/KeyText.h"

#include "absl/synchronization/blocking_counter.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/clock.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <array>
#include <limits>
#include <numeric>

namespace knapweedloft::fleet {
namespace {

constexpr std::array<const char *, 3> DataCenters{"cesis", "valmiera",
                                                  "sigulda"};
constexpr absl::Duration PollInterval = absl::Milliseconds(10);

} // namespace

FleetSite::FleetSite() {
  for (std::size_t Index = 0; Index < DaemonCount; ++Index) {
    harness::NodeOptions Options{.m_Name = fmt::format("vm-{}", Index),
                                 .m_DataCenter = dataCenterOf(Index)};
    if (Index < TargetCount) {
      Options.m_Service = "orders";
      Options.m_TargetArguments = {"--slots", "64", "--work-ms", "5"};
    }
    m_Site.addNode(Options);
  }
  m_Site.put("routes/orders", R"({"path_prefix":"/orders","service":"orders",)"
                              R"("idempotent":true,"timeout_ms":5000})");
}

std::string FleetSite::dataCenterOf(std::size_t Index) {
  return DataCenters[Index % DataCenters.size()];
}

std::string FleetSite::base(std::size_t Index) {
  return fmt::format("http://127.0.0.1:{}", m_Site.node(Index).m_CallerPort);
}

std::vector<std::string> FleetSite::allBases() {
  std::vector<std::string> Bases;
  for (std::size_t Index = 0; Index < DaemonCount; ++Index)
    Bases.push_back(base(Index));
  return Bases;
}

double FleetSite::secondsUntilAll(const std::string &Path, int Status,
                                  absl::Duration Most) {
  absl::Time Start = absl::Now();
  std::vector<std::size_t> Left(DaemonCount);
  std::iota(Left.begin(), Left.end(), 0);
  while (true) {
    Left = missing(Left, Path, Status);
    absl::Duration Passed = absl::Now() - Start;
    if (Left.empty())
      return absl::ToDoubleSeconds(Passed);
    if (Passed > Most)
      return std::numeric_limits<double>::infinity();
    absl::SleepFor(PollInterval);
  }
}

std::string FleetSite::addCustomer(const std::string &Name, double PerSecond,
                                   double Burst) {
  std::string Key = "key-of-" + Name + "-0123456789abcdef";
  m_Site.put("customers/" + Name, R"({"display_name":""})");
  m_Site.put("rates/" + Name, fmt::format(R"({{"per_second":{},"burst":{}}})",
                                          PerSecond, Burst));
  m_Site.put("keys/" + Name,
             nlohmann::json{{"customer", Name},
                            {"digest", state::hexOf(state::digestOf(Key))}}
                 .dump());
  return Key;
}

void FleetSite::setLogFaults(const std::string &Json) {
  (void)harness::httpCall(
      m_Site.logPort(),
      {.m_Method = "POST", .m_Path = "/faults", .m_Body = Json});
}

std::size_t FleetSite::runsOf(std::size_t Index) {
  http::HttpResult Result =
      harness::httpCall(m_Site.node(Index).m_TargetPort,
                        {.m_Method = "GET", .m_Path = "/ledger"});
  nlohmann::json Ledger =
      nlohmann::json::parse(Result.m_Response.m_Body, nullptr, false);
  return Ledger.is_object() ? Ledger["calls"].size() : 0;
}

std::vector<std::size_t>
FleetSite::missing(const std::vector<std::size_t> &Asked,
                   const std::string &Path, int Status) {
  absl::BlockingCounter Left(static_cast<int>(Asked.size()));
  absl::Mutex Mutex;
  std::vector<std::size_t> Missing;
  for (std::size_t Index : Asked)
    m_Client.send(
        fmt::format("http://127.0.0.1:{}", m_Site.node(Index).m_ApiPort),
        {.m_Method = "GET", .m_Path = Path}, absl::Seconds(2),
        [&, Index](const http::HttpResult &Result) {
          if (Result.m_Failure != http::Failure::None ||
              Result.m_Response.m_Status != Status) {
            absl::MutexLock Lock(&Mutex);
            Missing.push_back(Index);
          }
          Left.DecrementCount();
        });
  Left.Wait();
  return Missing;
}

} // namespace knapweedloft::fleet
