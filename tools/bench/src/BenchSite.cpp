#include "bench/BenchSite.h"

#include "caller/LoadRun.h"
#include "harness/HarnessError.h"
#include "harness/ProgramResult.h"

#include "fmt/format.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace knapweedloft::bench {
namespace {

constexpr std::size_t BodyBytes = 128;

std::string baseOf(std::uint16_t Port) {
  return fmt::format("http://127.0.0.1:{}", Port);
}

} // namespace

BenchSite::BenchSite() {
  m_Site.addNode({.m_Name = "entry"});
  m_Site.addNode({.m_Name = "echo-1",
                  .m_Service = "echo",
                  .m_TargetArguments = {"--work-ms", "0"}});
  m_EntryBase = baseOf(m_Site.node(0).m_CallerPort);
  m_TargetBase = baseOf(m_Site.node(1).m_TargetPort);
  m_Site.put("customers/bench", "{}");
  m_Site.put("rates/bench", R"({"per_second": 200000, "burst": 200000})");
  m_Site.put("routes/echo", R"({"path_prefix": "/echo/", "service": "echo"})");
  m_Key = makeKey();
  bool IsServing = harness::eventually([&] {
    auto Report = send(Way::Through, 100, absl::Milliseconds(100), 1);
    return Report.total().m_Succeeded == Report.total().m_Calls &&
           Report.total().m_Calls > 0;
  });
  if (!IsServing)
    throw harness::HarnessError("the site does not serve");
}

std::string BenchSite::makeKey() {
  harness::ProgramResult Made = harness::runProgram(
      {"knapweedloft", "apply", "keys", "bench-1", "customer=bench", "--output",
       "json", "--api", fmt::format("127.0.0.1:{}", m_Site.node(0).m_ApiPort)});
  if (Made.m_Code != 0)
    throw harness::HarnessError("no key: " + Made.m_Errors);
  return nlohmann::json::parse(Made.m_Output)
      .at(0)
      .at("key")
      .get<std::string>();
}

caller::LoadReport BenchSite::send(Way Taken, double PerSecond,
                                   absl::Duration Duration,
                                   std::uint64_t Seed) const {
  caller::LoadPlan Plan;
  Plan.m_Bases = {Taken == Way::Direct ? m_TargetBase : m_EntryBase};
  Plan.m_Customers = {
      {.m_Name = "bench", .m_Key = m_Key, .m_PerSecond = PerSecond}};
  Plan.m_Path = "/echo/";
  Plan.m_BodyBytes = BodyBytes;
  Plan.m_AnswerBytes = AnswerBytes;
  Plan.m_Duration = Duration;
  Plan.m_Seed = Seed;
  return caller::runLoad(Plan);
}

ProcessCost BenchSite::daemonCost() {
  ProcessCost Total;
  for (std::size_t Index = 0; Index < m_Site.size(); ++Index) {
    ProcessCost One = costOf(m_Site.node(Index).m_Daemon->id());
    Total.m_ProcessorTime += One.m_ProcessorTime;
    Total.m_ResidentKilobytes =
        std::max(Total.m_ResidentKilobytes, One.m_ResidentKilobytes);
  }
  return Total;
}

} // namespace knapweedloft::bench
