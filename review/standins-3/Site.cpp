#include "Site.h"

#include <cstdlib>
#include <filesystem>
#include <unistd.h>

namespace knapweedloft::review3 {
namespace {

constexpr int StoreIndex = 250;
constexpr double StartSeconds = 20;
constexpr unsigned LongestSeconds = 118;
const char *const CallerKey = "review3key";

} // namespace

Site::Site(const Options &Settings, Record &Log)
    : m_Settings(Settings), m_Log(Log) {
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "review3-XXXXXX").string();
  if (const char *Made = ::mkdtemp(Pattern.data()))
    m_Folder = Made;
  endAllAfter(LongestSeconds);
}

Site::~Site() {
  for (Machine &Each : m_Machines)
    Each.m_Daemon->kill();
  std::error_code Ignored;
  if (!m_Folder.empty() && std::getenv("KEEP_LOGS") == nullptr)
    std::filesystem::remove_all(m_Folder, Ignored);
}

std::string Site::configuration() const {
  std::string Routes;
  std::string Services;
  for (const ServiceSpec &Of : m_Settings.m_Services) {
    std::string Comma = Routes.empty() ? "" : ",";
    Routes += Comma + "[\"r-" + Of.m_Name + "\",\"site.example\",\"/" +
              Of.m_Name + "/\",\"" + Of.m_Kind + "\"," +
              std::to_string(m_Settings.m_TimeoutSeconds) +
              ",2.5,1,null,2,false,\"" + Of.m_Name + "\"]";
    Services +=
        Comma + "[\"" + Of.m_Name + "\",\"/health\",1672,\"h1\",false,0,0]";
  }
  return R"({"version":"r7","routes":{"columns":["name","host","pathPrefix",)"
         R"("kind","timeoutS","targetLatencyS","priority","trafficSplit",)"
         R"("maxAttempts","public","service"],"rows":[)" +
         Routes +
         R"(]},"services":{"columns":["name","healthPath","maxConnections",)"
         R"("protocol","tls","coldStartS","coldPerS"],"rows":[)" +
         Services +
         R"(]},"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,)"
         R"("headerTimeoutS":3,"idleTimeoutS":15},"tenants":{"columns":)"
         R"(["name","apiKeys","priority","ratePerS","burst"],"rows":[["acme",[")" +
         CallerKey + R"("],1,0,0]]}})";
}

bool Site::start() {
  Endpoint StoreAt{loopbackIp(StoreIndex), 7007};
  m_Store = std::make_unique<Store>(StoreAt);
  if (m_Folder.empty() || !m_Store->isListening())
    return false;
  m_Store->put("keyed.op", "config", configuration());
  int Index = 0;
  for (const ServiceSpec &Of : m_Settings.m_Services) {
    for (int Number = 1; Number <= Of.m_Machines; ++Number) {
      Daemon::Options Own;
      Own.m_Name = Of.m_Name + "-" + std::to_string(Number);
      Own.m_Service = Of.m_Name;
      Own.m_Ip = loopbackIp(++Index);
      Own.m_Store = StoreAt;
      Own.m_Folder = m_Folder;
      Own.m_MemoryMb = m_Settings.m_MemoryMb;
      Own.m_GraceSeconds = m_Settings.m_GraceSeconds;
      Machine Next;
      Next.m_Daemon = std::make_unique<Daemon>(Own);
      Upstream::Options Beside;
      Beside.m_Name = Own.m_Name;
      Beside.m_Service = Of.m_Name;
      Beside.m_At = Next.m_Daemon->upstream();
      Beside.m_Control = Next.m_Daemon->control();
      Beside.m_Slots = Of.m_Slots;
      Beside.m_WorkSeconds = Of.m_WorkSeconds;
      Beside.m_AnswerBytes = Of.m_AnswerBytes;
      Next.m_Upstream = std::make_unique<Upstream>(Beside, m_Log);
      if (!Next.m_Upstream->isListening() || !Next.m_Daemon->start(true))
        return false;
      m_Machines.push_back(std::move(Next));
    }
  }
  double Until = steadySeconds() + StartSeconds;
  for (Machine &Each : m_Machines)
    while (!Each.m_Daemon->isReady()) {
      if (steadySeconds() > Until)
        return false;
      sleepSeconds(0.1);
    }
  // All links are up and all upstreams have reported by then.
  sleepSeconds(4);
  m_Log.line("site is ready machines=" + std::to_string(m_Machines.size()));
  return true;
}

std::optional<Upstream::Run> Site::run(const std::string &Id) {
  for (Machine &Each : m_Machines)
    if (auto Found = Each.m_Upstream->run(Id))
      return Found;
  return std::nullopt;
}

std::string requestHead(const std::string &Method, const std::string &Service,
                        const std::string &Id, int DeadlineMs,
                        std::size_t BodyBytes) {
  std::string Text = Method + " /" + Service + "/a HTTP/1.1\r\n" +
                     "Host: site.example\r\nAttempt-Id: " + Id +
                     "\r\nDeadline-Ms: " + std::to_string(DeadlineMs) +
                     "\r\nAuthorization: Token " + CallerKey + "\r\n";
  if (Method != "GET")
    Text += "Content-Length: " + std::to_string(BodyBytes) + "\r\n";
  return Text + "\r\n";
}

bool hasTrouble() {
  const char *Set = std::getenv("TROUBLE");
  return Set == nullptr || std::string(Set) != "0";
}

void endProcess(int Code) { ::_exit(Code); }

} // namespace knapweedloft::review3
