#include "harness/Site.h"

#include "harness/HarnessError.h"
#include "harness/HttpCall.h"

#include "absl/time/clock.h"
#include "fmt/format.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <unistd.h>
#include <utility>

namespace knapweedloft::harness {
namespace {

constexpr absl::Duration PollInterval = absl::Milliseconds(5);

std::string makeFolder() {
  std::string Pattern =
      std::filesystem::temp_directory_path() / "knapweedloft-XXXXXX";
  if (mkdtemp(Pattern.data()) == nullptr)
    throw HarnessError("no temporary folder");
  return Pattern;
}

bool isAccepted(const http::HttpResult &Result) {
  return Result.m_Failure == http::Failure::None &&
         Result.m_Response.m_Status >= 200 && Result.m_Response.m_Status < 300;
}

http::HttpResponse requireAccepted(const std::string &What,
                                   http::HttpResult Result) {
  if (!isAccepted(Result))
    throw HarnessError(fmt::format(
        "{}: {} {} {}", What, http::FailureNames.nameOf(Result.m_Failure),
        Result.m_Response.m_Status, Result.m_Response.m_Body));
  return std::move(Result.m_Response);
}

/// A process and what to call it.
struct NamedProcess {
  std::string m_Name;
  Process *m_Child;
};

/// Adds to \p Failures those that ended with another code than 0.
void stopProcesses(const std::vector<NamedProcess> &Children,
                   std::vector<std::string> &Failures) {
  for (const NamedProcess &Stopping : Children)
    Stopping.m_Child->signal(SIGTERM);
  for (const NamedProcess &Stopping : Children)
    if (int Code = Stopping.m_Child->wait(); Code != 0)
      Failures.push_back(
          fmt::format("{} ended with {}", Stopping.m_Name, Code));
}

} // namespace

std::string programPath(const std::string &Name) {
  return std::filesystem::read_symlink("/proc/self/exe").parent_path() / Name;
}

bool eventually(const std::function<bool()> &IsSo, absl::Duration Limit) {
  const absl::Time Until = absl::Now() + Limit;
  while (!IsSo()) {
    if (absl::Now() > Until)
      return false;
    absl::SleepFor(PollInterval);
  }
  return true;
}

Site::Site(const std::vector<std::string> &LogArguments)
    : m_Folder(makeFolder()) {
  std::vector<std::string> Command = {programPath("knapweedloft-logservice")};
  Command.insert(Command.end(), LogArguments.begin(), LogArguments.end());
  m_Log = std::make_unique<Process>(Command);
  m_LogPort = m_Log->awaitPort("listening");
}

Site::~Site() {
  m_Nodes.clear();
  m_Log.reset();
  std::error_code Ignored;
  std::filesystem::remove_all(m_Folder, Ignored);
}

std::string Site::writeSettings(const NodeOptions &Options) const {
  std::string Path = fmt::format("{}/{}.toml", m_Folder, Options.m_Name);
  std::ofstream File(Path);
  File << fmt::format("[daemon]\nname = \"{}\"\nregion = \"{}\"\n"
                      "data_center = \"{}\"\n"
                      "[log]\naddress = \"127.0.0.1\"\nport = {}\n",
                      Options.m_Name, Options.m_Region, Options.m_DataCenter,
                      m_LogPort);
  if (!Options.m_Service.empty())
    File << fmt::format("[target]\nservice = \"{}\"\n", Options.m_Service);
  File << Options.m_MoreSettings;
  return Path;
}

std::size_t Site::addNode(NodeOptions Options) {
  auto Added = std::make_unique<Node>();
  Added->m_SettingsPath = writeSettings(Options);
  Added->m_Options = std::move(Options);
  m_Nodes.push_back(std::move(Added));
  std::size_t Index = m_Nodes.size() - 1;
  startDaemon(Index);
  if (!m_Nodes[Index]->m_Options.m_Service.empty())
    startTarget(Index);
  return Index;
}

void Site::startDaemon(std::size_t Index) {
  Node &Started = node(Index);
  Started.m_Daemon = std::make_unique<Process>(
      std::vector<std::string>{programPath("knapweedloft"), "run", "--settings",
                               Started.m_SettingsPath});
  Started.m_CallerPort =
      Started.m_Daemon->awaitPort("caller: Serving callers.");
  Started.m_ApiPort = Started.m_Daemon->awaitPort("api: Serving operators.");
}

void Site::startTarget(std::size_t Index) {
  Node &Started = node(Index);
  std::vector<std::string> Command = {
      programPath("knapweedloft-target"), "--service",
      Started.m_Options.m_Service, "--daemon",
      fmt::format("127.0.0.1:{}", Started.m_CallerPort)};
  const std::vector<std::string> &More = Started.m_Options.m_TargetArguments;
  Command.insert(Command.end(), More.begin(), More.end());
  Started.m_Target = std::make_unique<Process>(Command);
  Started.m_TargetPort = Started.m_Target->awaitPort("listening");
}

std::string Site::put(const std::string &Path, const std::string &Json,
                      std::size_t Index) {
  return requireAccepted(
             "PUT " + Path,
             httpCall(node(Index).m_ApiPort,
                      {.m_Method = "PUT",
                       .m_Path = "/v1/" + Path,
                       .m_Headers = {{"Content-Type", "application/json"}},
                       .m_Body = Json}))
      .m_Body;
}

void Site::remove(const std::string &Path, std::size_t Index) {
  requireAccepted("DELETE " + Path,
                  httpCall(node(Index).m_ApiPort,
                           {.m_Method = "DELETE", .m_Path = "/v1/" + Path}));
}

std::vector<std::string> Site::stopAll() {
  // Daemons first: what is in flight still needs the targets.
  std::vector<NamedProcess> Daemons;
  std::vector<NamedProcess> Targets;
  for (auto &Stopping : m_Nodes) {
    const std::string &Name = Stopping->m_Options.m_Name;
    if (Stopping->m_Daemon)
      Daemons.push_back({Name + " (daemon)", Stopping->m_Daemon.get()});
    if (Stopping->m_Target)
      Targets.push_back({Name + " (target)", Stopping->m_Target.get()});
  }
  std::vector<std::string> Failures;
  stopProcesses(Daemons, Failures);
  stopProcesses(Targets, Failures);
  return Failures;
}

} // namespace knapweedloft::harness
