#include "ledger/LedgerSite.h"

#include "harness/HarnessError.h"
#include "harness/HttpCall.h"
#include "harness/ProgramResult.h"

#include "fmt/format.h"

#include <arpa/inet.h>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <sys/socket.h>
#include <unistd.h>

namespace knapweedloft::ledger {
namespace {

std::string makeFolder() {
  std::string Pattern =
      std::filesystem::temp_directory_path() / "knapweedloft-ledger-XXXXXX";
  if (::mkdtemp(Pattern.data()) == nullptr)
    throw harness::HarnessError("no temporary folder");
  return Pattern;
}

/// \returns a port that was free a moment ago.
std::uint16_t freePort() {
  int Socket = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Size = sizeof(Address);
  if (::bind(Socket, reinterpret_cast<sockaddr *>(&Address), Size) != 0)
    throw harness::HarnessError("no free port");
  ::getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Size);
  ::close(Socket);
  return ntohs(Address.sin_port);
}

} // namespace

LedgerSite::LedgerSite(bool IsOpen) : m_Folder(makeFolder()) {
  for (const char *DataCenter : {"cesis", "sigulda"})
    for (int Index = 1; Index <= 2; ++Index)
      addNode(fmt::format("press-{}-{}", DataCenter, Index), DataCenter);
  m_Site.put("customers/ledger", "{}");
  m_Site.put("rates/ledger", R"({"per_second": 100000, "burst": 100000})");
  putRoute("orders", false, IsOpen);
  putRoute("catalogue", true, IsOpen);
  if (!IsOpen)
    makeKey();
  awaitServing();
}

void LedgerSite::putRoute(const std::string &Name, bool IsIdempotent,
                          bool IsOpen) {
  nlohmann::json Route = {{"path_prefix", "/" + Name + "/"},
                          {"service", "orders"},
                          {"idempotent", IsIdempotent},
                          {"open", IsOpen}};
  m_Site.put("routes/" + Name, Route.dump());
}

void LedgerSite::makeKey() {
  harness::ProgramResult Made = harness::runProgram(
      {"knapweedloft", "apply", "keys", "ledger-1", "customer=ledger",
       "--output", "json", "--api",
       fmt::format("127.0.0.1:{}", m_Site.node(0).m_ApiPort)});
  if (Made.m_Code != 0)
    throw harness::HarnessError("no key: " + Made.m_Errors);
  m_Key =
      nlohmann::json::parse(Made.m_Output).at(0).at("key").get<std::string>();
}

LedgerSite::~LedgerSite() {
  std::error_code Ignored;
  std::filesystem::remove_all(m_Folder, Ignored);
}

void LedgerSite::addNode(const std::string &Name,
                         const std::string &DataCenter) {
  std::uint16_t Port = freePort();
  m_Journals.push_back(fmt::format("{}/{}.journal", m_Folder, Name));
  m_Bases.push_back(fmt::format("http://127.0.0.1:{}", Port));
  harness::NodeOptions Node;
  Node.m_Name = Name;
  Node.m_DataCenter = DataCenter;
  Node.m_Service = "orders";
  Node.m_TargetArguments = {
      "--slots",         "32",         "--work-ms",      "3", "--journal",
      m_Journals.back(), "--crash-on", "ends-the-target"};
  Node.m_MoreSettings = fmt::format("[caller]\nport = {}\n", Port);
  m_Site.addNode(std::move(Node));
}

void LedgerSite::restartDaemon(std::size_t Index) {
  m_Site.node(Index).m_Daemon.reset();
  m_Site.startDaemon(Index);
}

void LedgerSite::restartTarget(std::size_t Index) {
  m_Site.node(Index).m_Target.reset();
  m_Site.startTarget(Index);
}

http::HeaderList LedgerSite::authorization() const {
  if (m_Key.empty())
    return {};
  return {{"Authorization", "Bearer " + m_Key}};
}

void LedgerSite::awaitServing() {
  for (std::size_t Index = 0; Index < m_Site.size(); ++Index) {
    bool IsServing = harness::eventually([&] {
      auto Result = harness::httpCall(m_Site.node(Index).m_CallerPort,
                                      {.m_Method = "POST",
                                       .m_Path = "/orders/0",
                                       .m_Headers = authorization()});
      return Result.m_Failure == http::Failure::None &&
             Result.m_Response.m_Status == 200;
    });
    if (!IsServing)
      throw harness::HarnessError("the site does not serve");
  }
}

TargetBook LedgerSite::readBooks() const {
  TargetBook Books;
  for (const std::string &Path : m_Journals)
    Books.read(Path);
  return Books;
}

} // namespace knapweedloft::ledger
