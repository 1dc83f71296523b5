#include "demo/DemoSite.h"

#include "caller/LoadRun.h"
#include "harness/HarnessError.h"
#include "harness/HttpCall.h"

#include "fmt/format.h"

#include <nlohmann/json.hpp>

namespace knapweedloft::demo {
namespace {

constexpr std::size_t AnswerBytes = 512;
constexpr std::size_t BodyBytes = 128;

nlohmann::json ledgerOf(std::uint16_t Port) {
  auto Result =
      harness::httpCall(Port, {.m_Method = "GET", .m_Path = "/ledger"});
  return nlohmann::json::parse(Result.m_Response.m_Body);
}

} // namespace

DemoSite::DemoSite(std::size_t PerService) {
  for (const char *DataCenter : {"cesis", "sigulda"})
    for (const std::string Service : {"orders", "catalogue"})
      for (std::size_t Index = 1; Index <= PerService; ++Index) {
        harness::NodeOptions Node;
        Node.m_Name = fmt::format("{}-{}-{}", Service, DataCenter, Index);
        Node.m_DataCenter = DataCenter;
        Node.m_Service = Service;
        Node.m_TargetArguments = {"--slots", "16", "--work-ms", "2"};
        if (Service == "orders")
          for (const char *Word : {"--calls", "/catalogue/"})
            Node.m_TargetArguments.emplace_back(Word);
        m_Site.addNode(std::move(Node));
      }
}

harness::ProgramResult
DemoSite::operate(const std::string &Verb,
                  const std::vector<std::string> &Words) {
  std::vector<std::string> Command = {"knapweedloft", Verb};
  Command.insert(Command.end(), Words.begin(), Words.end());
  // Last, since --api takes every word that follows it.
  Command.emplace_back("--api");
  Command.push_back(fmt::format("127.0.0.1:{}", m_Site.node(0).m_ApiPort));
  harness::ProgramResult Result = harness::runProgram(Command);
  if (Result.m_Code != 0)
    throw harness::HarnessError(
        fmt::format("knapweedloft {} ended with {}: {}{}", Verb, Result.m_Code,
                    Result.m_Output, Result.m_Errors));
  return Result;
}

std::string DemoSite::addCustomer(const std::string &Name, double PerSecond,
                                  double Burst) {
  operate("apply", {"customers", Name});
  operate("apply", {"rates", Name, fmt::format("per_second={}", PerSecond),
                    fmt::format("burst={}", Burst)});
  harness::ProgramResult Made =
      operate("apply", {"keys", Name + "-1", "customer=" + Name, "--until",
                        "in-force", "--output", "json"});
  auto Json = nlohmann::json::parse(Made.m_Output);
  const nlohmann::json &First = Json.is_array() ? Json.at(0) : Json;
  return First.at("key").get<std::string>();
}

void DemoSite::addRoutes() {
  operate("apply", {"routes", "orders", "path_prefix=/orders/",
                    "service=orders", "priority=high"});
  operate("apply",
          {"routes", "catalogue", "path_prefix=/catalogue/",
           "service=catalogue", "idempotent=true", "--until", "in-force"});
}

caller::LoadReport
DemoSite::send(const std::vector<caller::CallingCustomer> &Customers,
               absl::Duration Duration) {
  caller::LoadPlan Plan;
  for (std::size_t Index = 0; Index < m_Site.size(); ++Index)
    Plan.m_Bases.push_back(
        fmt::format("http://127.0.0.1:{}", m_Site.node(Index).m_CallerPort));
  Plan.m_Customers = Customers;
  Plan.m_Path = "/orders/";
  Plan.m_BodyBytes = BodyBytes;
  Plan.m_AnswerBytes = AnswerBytes;
  Plan.m_Duration = Duration;
  Plan.m_Seed = ++m_Seed;
  return caller::runLoad(Plan);
}

bool DemoSite::awaitServing(const std::string &Key) {
  for (std::size_t Index = 0; Index < m_Site.size(); ++Index) {
    bool IsServing = harness::eventually([&] {
      auto Result = harness::httpCall(
          m_Site.node(Index).m_CallerPort,
          {.m_Method = "POST",
           .m_Path = "/orders/",
           .m_Headers = {{"Authorization", "Bearer " + Key}}});
      return Result.m_Failure == http::Failure::None &&
             Result.m_Response.m_Status == 200;
    });
    if (!IsServing)
      return false;
  }
  return true;
}

std::uint64_t DemoSite::startsIn(const std::string &DataCenter) {
  std::uint64_t Starts = 0;
  for (std::size_t Index = 0; Index < m_Site.size(); ++Index) {
    harness::Node &Node = m_Site.node(Index);
    if (Node.m_Options.m_DataCenter != DataCenter)
      continue;
    const nlohmann::json Ledger = ledgerOf(Node.m_TargetPort);
    for (const auto &Call : Ledger.at("calls"))
      Starts += Call.at("starts").get<std::uint64_t>();
  }
  return Starts;
}

std::uint64_t DemoSite::keysSeen() {
  std::uint64_t Seen = 0;
  for (std::size_t Index = 0; Index < m_Site.size(); ++Index)
    Seen += ledgerOf(m_Site.node(Index).m_TargetPort)
                .at("keys_seen")
                .get<std::uint64_t>();
  return Seen;
}

} // namespace knapweedloft::demo
