#include "CostFigures.h"

#include "fakefleet/FakeDaemon.h"
#include "fakefleet/FakeFleet.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace knapweedloft::fleet {
namespace {

constexpr int SiteCount = 7;
constexpr int TargetSize = 5800;
constexpr double BudgetBytes = 17'000;
/// Of the log's several hundred appends a second.
constexpr double MostAppends = 300;
constexpr int LostSiteSize = 200;
constexpr absl::Duration Settle = absl::Seconds(40);
constexpr absl::Duration Length = absl::Seconds(30);
/// 27,000 changes a day.
constexpr absl::Duration ChangeEvery = absl::Milliseconds(3200);

fakefleet::FakeFleet::Options options(std::uint64_t Seed) {
  return {.m_Seed = Seed, .m_HasRates = false, .m_CountsBytes = true};
}

std::string nameOf(int Index) { return "d" + std::to_string(Index); }

void addAll(fakefleet::FakeFleet &Fleet, int Size) {
  for (int Index = 0; Index < Size; ++Index)
    Fleet.add(nameOf(Index), "dc" + std::to_string(Index % SiteCount));
}

/// Bytes that a daemon sends a second.
struct Cost {
  double m_Average = 0;
  double m_Busiest = 0;
};

Cost runSize(std::uint64_t Seed, int Size, Figures &Out) {
  fakefleet::FakeFleet Fleet(options(Seed));
  addAll(Fleet, Size);
  Fleet.run(Settle);
  Fleet.traffic().clear();
  std::map<std::string, std::uint64_t> Before;
  for (const std::string &Name : Fleet.names())
    Before[Name] = Fleet.daemon(Name).bytesSent();
  for (absl::Duration Done; Done < Length; Done += ChangeEvery) {
    Fleet.put(model::Customer{"c" + std::to_string(Size), "changed"});
    Fleet.run(ChangeEvery);
  }
  double Seconds = std::ceil(absl::FDivDuration(Length, ChangeEvery)) *
                   absl::ToDoubleSeconds(ChangeEvery);
  std::size_t MostLinks = 0;
  Cost Bytes;
  for (const std::string &Name : Fleet.names()) {
    fakefleet::FakeDaemon &One = Fleet.daemon(Name);
    MostLinks = std::max(MostLinks, One.linkCount());
    auto Sent = static_cast<double>(One.bytesSent() - Before[Name]);
    Bytes.m_Busiest = std::max(Bytes.m_Busiest, Sent / Seconds);
  }
  std::string Kinds;
  for (const auto &[Kind, Sent] : Fleet.traffic()) {
    Bytes.m_Average += static_cast<double>(Sent.m_Bytes) / Seconds / Size;
    Kinds += fmt::format(" {} {:.2f}/s {:.0f} B/s;", Kind,
                         static_cast<double>(Sent.m_Messages) / Seconds / Size,
                         static_cast<double>(Sent.m_Bytes) / Seconds / Size);
  }
  Out.note(fmt::format(
      "  {:>4} daemons: {:>6.0f} B/s sent, busiest {:.0f}, at most {} "
      "links:{}",
      Size, Bytes.m_Average, Bytes.m_Busiest, MostLinks, Kinds));
  return Bytes;
}

/// \returns the most records that the log was given within one second.
std::size_t peakAppends(fakefleet::FakeFleet &Fleet, absl::Duration For) {
  std::size_t Peak = 0;
  for (absl::Duration Done; Done < For; Done += absl::Seconds(1)) {
    std::size_t Before = Fleet.log().m_Records.size();
    Fleet.run(absl::Seconds(1));
    Peak = std::max(Peak, Fleet.log().m_Records.size() - Before);
  }
  return Peak;
}

void loseSite(std::uint64_t Seed, Figures &Out) {
  fakefleet::FakeFleet Fleet(options(Seed));
  for (int Index = 0; Index < LostSiteSize * 3; ++Index)
    Fleet.add(nameOf(Index), "dc" + std::to_string(Index % 3));
  Fleet.run(Settle);
  std::size_t Before = Fleet.log().m_Records.size();
  for (int Index = 0; Index < LostSiteSize * 3; Index += 3)
    Fleet.crash(nameOf(Index));
  std::size_t DeathPeak = peakAppends(Fleet, absl::Seconds(40));
  std::size_t Deaths = Fleet.log().m_Records.size() - Before;
  Before = Fleet.log().m_Records.size();
  for (int Index = 0; Index < LostSiteSize * 3; Index += 3)
    Fleet.restart(nameOf(Index));
  std::size_t JoinPeak = peakAppends(Fleet, absl::Seconds(40));
  std::size_t Joins = Fleet.log().m_Records.size() - Before;
  Out.note(fmt::format("  a data center of {} of {} lost: {} appends; back at "
                       "once: {} appends",
                       LostSiteSize, LostSiteSize * 3, Deaths, Joins));
  Out.atMost("most appends in a second, lost", static_cast<double>(DeathPeak),
             MostAppends);
  Out.atMost("most appends in a second, back", static_cast<double>(JoinPeak),
             MostAppends);
}

} // namespace

void measureCost(std::uint64_t Seed, Figures &Out) {
  Out.note("control by daemon, in virtual time, 27,000 changes a day");
  std::vector<std::pair<int, Cost>> Points;
  for (int Size : {28, 56, 112, 224, 448})
    Points.emplace_back(Size, runSize(Seed, Size, Out));
  // What is bounded grows up to its bound: the last doubling tells the slope.
  auto AtTarget = [&](double Cost::*Of) {
    const auto &[FirstSize, First] = Points[Points.size() - 2];
    const auto &[LastSize, Last] = Points.back();
    double Slope = (Last.*Of - First.*Of) / (LastSize - FirstSize);
    return std::max(0.0, Slope) * (TargetSize - LastSize) + Last.*Of;
  };
  Out.atMost(fmt::format("bytes a second sent at {} by slope", TargetSize),
             AtTarget(&Cost::m_Average), BudgetBytes);
  Out.atMost(fmt::format("of the busiest daemon at {} by slope", TargetSize),
             AtTarget(&Cost::m_Busiest), BudgetBytes);
  Out.add("control_bytes", AtTarget(&Cost::m_Average));
  Out.add("busiest_bytes", AtTarget(&Cost::m_Busiest));
  loseSite(Seed, Out);
}

} // namespace knapweedloft::fleet
