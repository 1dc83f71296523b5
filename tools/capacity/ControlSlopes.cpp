#include "ControlSlopes.h"

#include "ProcessUse.h"
#include "Targets.h"
#include "fakefleet/FakeDaemon.h"
#include "fakefleet/FakeFleet.h"

#include "fmt/format.h"

#include <algorithm>
#include <vector>

namespace knapweedloft::capacity {
namespace {

constexpr double SettleSeconds = 40;
constexpr double MeasuredSeconds = 20;
/// Changes during the measurement, a second; the mean of a day is 0.3.
constexpr int ChangesASecond = 2;

struct ControlCost {
  double m_Bytes = 0;     ///< Sent by a daemon, a second.
  double m_Messages = 0;  ///< Sent by a daemon, a second.
  double m_CoreShare = 0; ///< Of a daemon.
  double m_Links = 0;     ///< Of a daemon.
  double m_LogReads = 0;  ///< Of all daemons, a second.
  double m_InForce = 0;   ///< Longest time from append to everywhere, s.
};

double bytesOf(const fakefleet::Traffic &Traffic) {
  double Sum = 0;
  for (const auto &[Kind, Count] : Traffic)
    Sum += static_cast<double>(Count.m_Bytes);
  return Sum;
}

double messagesOf(const fakefleet::Traffic &Traffic) {
  double Sum = 0;
  for (const auto &[Kind, Count] : Traffic)
    Sum += static_cast<double>(Count.m_Messages);
  return Sum;
}

double logReads(fakefleet::FakeFleet &Fleet) {
  double Sum = 0;
  for (const std::string &Name : Fleet.names())
    Sum += static_cast<double>(Fleet.daemon(Name).logReads());
  return Sum;
}

/// Appends one change and runs until every daemon has applied it.
/// \returns the seconds that took, in steps of 20 ms.
double timeInForce(fakefleet::FakeFleet &Fleet, int Number) {
  absl::Time Start = Fleet.now();
  std::string Timed = fmt::format("timed-{}", Number);
  Fleet.put(model::Customer{Timed, Timed});
  auto IsEverywhere = [&] {
    for (const std::string &Name : Fleet.names())
      if (!Fleet.daemon(Name).replica().store().share()->find(
              model::ResourceKind::Customer, Timed))
        return false;
    return true;
  };
  while (!IsEverywhere() && Fleet.now() - Start < absl::Seconds(60))
    Fleet.run(absl::Milliseconds(20));
  return absl::ToDoubleSeconds(Fleet.now() - Start);
}

ControlCost costOf(int Count, bool HasChanges, std::uint64_t Seed) {
  fakefleet::FakeFleet Fleet(
      {.m_Seed = Seed, .m_HasRates = false, .m_CountsBytes = true});
  // Seven data centers only make sense with followers and more in each.
  int Sites = static_cast<int>(DataCenters);
  for (int Index = 0; Index < Count; ++Index)
    Fleet.add(fmt::format("vm-{}", Index), fmt::format("dc-{}", Index % Sites));
  Fleet.run(absl::Seconds(SettleSeconds));
  fakefleet::Traffic Before = Fleet.traffic();
  double ReadsBefore = logReads(Fleet);
  double CoreBefore = processorSeconds();
  for (int Second = 0; Second < static_cast<int>(MeasuredSeconds); ++Second) {
    for (int Change = 0; HasChanges && Change < ChangesASecond; ++Change)
      Fleet.put(model::Customer{fmt::format("c-{}-{}", Second, Change), ""});
    Fleet.run(absl::Seconds(1));
  }
  double Scale = MeasuredSeconds * Count;
  ControlCost Cost;
  Cost.m_CoreShare = (processorSeconds() - CoreBefore) / Scale;
  Cost.m_Bytes = (bytesOf(Fleet.traffic()) - bytesOf(Before)) / Scale;
  Cost.m_Messages = (messagesOf(Fleet.traffic()) - messagesOf(Before)) / Scale;
  Cost.m_LogReads = (logReads(Fleet) - ReadsBefore) / MeasuredSeconds;
  for (const std::string &Name : Fleet.names())
    Cost.m_Links += static_cast<double>(Fleet.daemon(Name).linkCount()) / Count;
  for (int Number = 0; HasChanges && Number < 5; ++Number)
    Cost.m_InForce = std::max(Cost.m_InForce, timeInForce(Fleet, Number));
  return Cost;
}

} // namespace

void measureControl(Sheet &Page, std::uint64_t Seed) {
  std::vector<Sample> Bytes;
  std::vector<Sample> Messages;
  std::vector<Sample> Core;
  std::vector<Sample> Links;
  std::vector<Sample> Reads;
  std::vector<Sample> InForce;
  std::vector<Sample> ChangeBytes;
  for (int Count : {35, 70, 140, 280}) {
    auto Size = static_cast<double>(Count);
    ControlCost Idle = costOf(Count, false, Seed);
    ControlCost Busy = costOf(Count, true, Seed);
    Bytes.push_back({Size, Idle.m_Bytes});
    Messages.push_back({Size, Idle.m_Messages});
    Core.push_back({Size, Idle.m_CoreShare});
    Links.push_back({Size, Idle.m_Links});
    Reads.push_back({Size, Idle.m_LogReads});
    InForce.push_back({Size, Busy.m_InForce});
    ChangeBytes.push_back(
        {Size, (Busy.m_Bytes - Idle.m_Bytes) / ChangesASecond});
  }
  LinearFit BytesLine = Page.slope("control.bytes_s", "members", Bytes);
  LinearFit ChangeLine =
      Page.slope("control.bytes_change", "members", ChangeBytes);
  Page.slope("control.messages_s", "members", Messages);
  LinearFit CoreLine = Page.slope("control.core", "members", Core);
  LinearFit LinksLine = Page.slope("control.links", "members", Links);
  LinearFit ReadsLine = Page.slope("control.log_reads_s", "members", Reads);
  LinearFit InForceLine = Page.slope("control.in_force_s", "members", InForce);

  double Changes = (ChangesADay + 2 * ReplacementsADay) / SecondsADay;
  Page.row("control.bytes",
           extrapolate(BytesLine, Bytes, Members) +
               extrapolate(ChangeLine, ChangeBytes, Members) * Changes,
           "B/s", ControlBytesASecond);
  Page.row("control.core_share", extrapolate(CoreLine, Core, Members), "core",
           ControlCoreShare);
  Page.note("control.links", extrapolate(LinksLine, Links, Members), "links");
  Page.note("control.log_reads", extrapolate(ReadsLine, Reads, Members),
            "reads/s");
  Page.row("control.in_force", extrapolate(InForceLine, InForce, Members), "s",
           InForceSeconds);
}

} // namespace knapweedloft::capacity
