#include "Case2.h"

#include <csignal>
#include <utility>

namespace review2 {
namespace {

constexpr std::uint16_t StorePort = 17000;
constexpr double ReadyTimeout = 15;
/// Targets are used once they have reported and the daemons are linked.
constexpr double SettleTime = 3;

} // namespace

CaseSite::CaseSite(const std::vector<std::string> &Words)
    : m_HasTrouble(Words.at(4) != "0"), m_Network(freeNetwork()),
      m_Record(Words.at(3)) {
  std::signal(SIGPIPE, SIG_IGN);
  m_Record.line(m_HasTrouble ? "with the disruption"
                             : "without the disruption (TROUBLE=0)");
  m_Store = std::make_unique<Store>(
      knapweedloft::model::Endpoint{m_Network + "200", StorePort});
  m_Platform = std::make_unique<Platform>(
      Words.at(0), contentOf(Words.at(1)), Words.at(2),
      m_Network + "200:" + std::to_string(StorePort), m_Record);
}

void CaseSite::configure(const std::vector<RouteRow> &Routes) {
  std::string Rows;
  std::map<std::string, bool> Services;
  for (const RouteRow &One : Routes) {
    Rows += (Rows.empty() ? "" : ",") + std::string("[\"") + One.m_Name +
            "\",\"site\",\"" + One.m_Prefix + "\",\"" + One.m_Kind + "\"," +
            std::to_string(One.m_TimeoutS) + "," +
            std::to_string(One.m_TimeoutS / 2) + ",1,null,2,false,\"" +
            One.m_Service + "\"]";
    Services[One.m_Service] = true;
  }
  std::string ServiceRows;
  for (const auto &[Name, IsUsed] : Services)
    ServiceRows += (ServiceRows.empty() ? "" : ",") + std::string("[\"") +
                   Name + R"(","/health",300,"h1",false])";
  m_Store->put(
      "keyed.op", "config",
      R"({"version":"r1","routes":{"columns":["name","host","pathPrefix",)"
      R"("kind","timeoutS","targetLatencyS","priority","trafficSplit",)"
      R"("maxAttempts","public","service"],"rows":[)" +
          Rows +
          R"(]},"services":{"columns":["name","healthPath","maxConnections",)"
          R"("protocol","tls"],"rows":[)" +
          ServiceRows +
          R"(]},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,)"
          R"("headerTimeoutS":3,"idleTimeoutS":15},"tenants":{"columns":)"
          R"(["name","apiKeys","priority","ratePerS","burst"],"rows":)"
          R"([["acme",["secret"],1,0,0]]}})");
}

const Place &CaseSite::addMachine(const std::string &Service, int Slots,
                                  Upstream::Serve OnRequest) {
  auto At = std::make_unique<Place>();
  std::string Number = std::to_string(m_Places.size() + 1);
  At->m_Name = "sidecar-a-" + Number;
  At->m_Service = Service;
  At->m_Ip = m_Network + Number;
  m_Upstreams.push_back(std::make_unique<Upstream>(*At, "i-" + Number, Slots,
                                                   std::move(OnRequest)));
  m_Places.push_back(std::move(At));
  return *m_Places.back();
}

bool CaseSite::start(double GraceS) {
  if (m_Network.empty())
    return false;
  for (const auto &At : m_Places) {
    At->m_GraceS = GraceS;
    m_Platform->start(*At, true);
  }
  for (const auto &At : m_Places)
    if (!m_Platform->awaitReady(*At, ReadyTimeout)) {
      m_Record.line("could not run: " + At->m_Name + " is not ready");
      return false;
    }
  pauseFor(SettleTime);
  return true;
}

std::string CaseSite::head(const std::string &Method, const std::string &Path,
                           const std::string &Id, double DeadlineS) {
  return Method + " " + Path + " HTTP/1.1\r\nHost: site\r\nAttempt-Id: " + Id +
         "\r\nDeadline-Ms: " +
         std::to_string(static_cast<int>(DeadlineS * 1000)) +
         "\r\nAuthorization: Token secret\r\n";
}

} // namespace review2
