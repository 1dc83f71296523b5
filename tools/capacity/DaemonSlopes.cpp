#include "DaemonSlopes.h"

#include "LinkSlopes.h"
#include "Targets.h"
#include "harness/HttpCall.h"
#include "harness/Site.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "absl/time/clock.h"
#include "fmt/format.h"

#include <fstream>
#include <string>
#include <unistd.h>
#include <vector>

namespace knapweedloft::capacity {
namespace {

constexpr int Sites = 3;
constexpr absl::Duration Settle = absl::Seconds(6);
constexpr absl::Duration Measured = absl::Seconds(10);

/// \returns the gauge \p Name of a daemon, or 0.
double gaugeOf(harness::Node &Node, const std::string &Name) {
  http::HttpResult Result = harness::httpCall(
      Node.m_ApiPort, {.m_Method = "GET", .m_Path = "/metrics"});
  for (absl::string_view Line :
       absl::StrSplit(Result.m_Response.m_Body, '\n')) {
    double Value = 0;
    std::pair<absl::string_view, absl::string_view> Parts =
        absl::StrSplit(Line, ' ');
    if (Parts.first == "knapweedloft_" + Name &&
        absl::SimpleAtod(Parts.second, &Value))
      return Value;
  }
  return 0;
}

/// \returns processor time of a process in seconds, from /proc/PID/stat.
double processorSecondsOf(pid_t Process) {
  std::ifstream File(fmt::format("/proc/{}/stat", Process));
  std::string Text((std::istreambuf_iterator<char>(File)),
                   std::istreambuf_iterator<char>());
  // Fields behind the name, which may hold blanks: utime is the 12th of them.
  std::vector<std::string> Fields =
      absl::StrSplit(Text.substr(Text.rfind(')') + 2), ' ');
  constexpr std::size_t UserField = 11;
  double Ticks =
      std::stod(Fields.at(UserField)) + std::stod(Fields.at(UserField + 1));
  return Ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

/// \returns private and shared resident memory in bytes, from /proc/PID/statm.
double residentBytesOf(pid_t Process) {
  std::ifstream File(fmt::format("/proc/{}/statm", Process));
  double Size = 0;
  double Resident = 0;
  File >> Size >> Resident;
  return Resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

struct DaemonCost {
  double m_Links = 0;
  double m_Bytes = 0; ///< Sent, a second.
  double m_CoreShare = 0;
  double m_Resident = 0;
};

DaemonCost costOf(int Count) {
  harness::Site Fleet;
  for (int Index = 0; Index < Count; ++Index)
    Fleet.addNode({.m_Name = fmt::format("vm-{}", Index),
                   .m_DataCenter = fmt::format("dc-{}", Index % Sites)});
  absl::SleepFor(Settle);
  double Bytes = 0;
  double Core = 0;
  for (std::size_t Index = 0; Index < Fleet.size(); ++Index) {
    Bytes -= gaugeOf(Fleet.node(Index), "link_sent_bytes");
    Core -= processorSecondsOf(Fleet.node(Index).m_Daemon->id());
  }
  absl::SleepFor(Measured);
  DaemonCost Cost;
  for (std::size_t Index = 0; Index < Fleet.size(); ++Index) {
    harness::Node &Node = Fleet.node(Index);
    Core += processorSecondsOf(Node.m_Daemon->id());
    Bytes += gaugeOf(Node, "link_sent_bytes");
    Cost.m_Links += gaugeOf(Node, "links") / Count;
    Cost.m_Resident += residentBytesOf(Node.m_Daemon->id()) / Count;
  }
  double Scale = absl::ToDoubleSeconds(Measured) * Count;
  Cost.m_Bytes = Bytes / Scale;
  Cost.m_CoreShare = Core / Scale;
  return Cost;
}

} // namespace

void measureDaemons(Sheet &Page, double StateMemory) {
  std::vector<Sample> BytesByLinks;
  std::vector<Sample> CoreByLinks;
  std::vector<Sample> ResidentByLinks;
  for (int Count : {6, 12, 24, 48, 96}) {
    DaemonCost Cost = costOf(Count);
    fmt::print("      {:>4} daemons: {:.1f} links, {:.0f} B/s, {:.4f} core, "
               "{:.1f} MB\n",
               Count, Cost.m_Links, Cost.m_Bytes, Cost.m_CoreShare,
               Cost.m_Resident / 1e6);
    BytesByLinks.push_back({Cost.m_Links, Cost.m_Bytes});
    CoreByLinks.push_back({Cost.m_Links, Cost.m_CoreShare});
    ResidentByLinks.push_back({Cost.m_Links, Cost.m_Resident});
  }
  LinearFit Bytes = Page.slope("daemon.bytes_s", "links", BytesByLinks);
  LinearFit Core = Page.slope("daemon.core", "links", CoreByLinks);
  LinearFit Resident = Page.slope("daemon.resident", "links", ResidentByLinks);
  LinkCost Relaxed = measureLinks(Page, link::LinkPace::Relaxed);
  double RequestBytes = Relaxed.m_Bytes.m_Slope * RequestLinks;
  Page.note("daemon.bytes.control", Bytes.at(ControlLinks), "B/s");
  Page.note("daemon.bytes.request_links", RequestBytes, "B/s");
  Page.row("daemon.bytes", Bytes.at(ControlLinks) + RequestBytes, "B/s",
           ControlBytesASecond);
  Page.row("daemon.core_share", Core.at(ControlLinks + RequestLinks), "core",
           ControlCoreShare);
  // The memory of a link is measured at both ends together.
  double RequestMemory = Relaxed.m_Memory.m_Slope / 2 * RequestLinks;
  Page.note("daemon.memory.request_links", RequestMemory, "B");
  Page.row("daemon.memory",
           Resident.at(ControlLinks) + RequestMemory + StateMemory, "B",
           MemoryBytes);
}

} // namespace knapweedloft::capacity
