#include "CostFigures.h"

#include "fakefleet/FakeDaemon.h"
#include "fakefleet/FakeFleet.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>
#include <vector>

namespace knapweedloft::fleet {
namespace {

constexpr int SiteCount = 7;
constexpr int TargetSize = 5800;
constexpr double BudgetBytes = 17'000;
constexpr absl::Duration Settle = absl::Seconds(20);
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

/// \returns bytes that a daemon sends a second, on average.
double runSize(std::uint64_t Seed, int Size, Figures &Out) {
  fakefleet::FakeFleet Fleet(options(Seed));
  addAll(Fleet, Size);
  Fleet.run(Settle);
  Fleet.traffic().clear();
  for (absl::Duration Done; Done < Length; Done += ChangeEvery) {
    Fleet.put(model::Customer{"c" + std::to_string(Size), "changed"});
    Fleet.run(ChangeEvery);
  }
  double Seconds = std::ceil(absl::FDivDuration(Length, ChangeEvery)) *
                   absl::ToDoubleSeconds(ChangeEvery);
  std::size_t MostLinks = 0;
  for (const std::string &Name : Fleet.names())
    MostLinks = std::max(MostLinks, Fleet.daemon(Name).linkCount());
  double Bytes = 0;
  std::string Kinds;
  for (const auto &[Kind, Sent] : Fleet.traffic()) {
    Bytes += static_cast<double>(Sent.m_Bytes) / Seconds / Size;
    Kinds += fmt::format(" {} {:.2f}/s {:.0f} B/s;", Kind,
                         static_cast<double>(Sent.m_Messages) / Seconds / Size,
                         static_cast<double>(Sent.m_Bytes) / Seconds / Size);
  }
  Out.note(
      fmt::format("  {:>4} daemons: {:>7.0f} B/s sent, at most {} links:{}",
                  Size, Bytes, MostLinks, Kinds));
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
  constexpr int Size = 210;
  fakefleet::FakeFleet Fleet(options(Seed));
  addAll(Fleet, Size);
  Fleet.run(Settle);
  std::size_t Before = Fleet.log().m_Records.size();
  for (int Index = 0; Index < Size; Index += SiteCount)
    Fleet.crash(nameOf(Index));
  std::size_t DeathPeak = peakAppends(Fleet, absl::Seconds(40));
  std::size_t Deaths = Fleet.log().m_Records.size() - Before;
  Before = Fleet.log().m_Records.size();
  for (int Index = 0; Index < Size; Index += SiteCount)
    Fleet.restart(nameOf(Index));
  std::size_t JoinPeak = peakAppends(Fleet, absl::Seconds(40));
  std::size_t Joins = Fleet.log().m_Records.size() - Before;
  int Lost = Size / SiteCount;
  double Scale = static_cast<double>(TargetSize) / SiteCount / Lost;
  Out.note(
      fmt::format("  a data center of {} lost: {} appends, at most {} in a "
                  "second; at {} members {:.0f} a second by that ratio",
                  Lost, Deaths, DeathPeak, TargetSize / SiteCount,
                  static_cast<double>(DeathPeak) * Scale));
  Out.note(
      fmt::format("  and back at once: {} appends, at most {} in a second; "
                  "at {} members {:.0f} a second by that ratio",
                  Joins, JoinPeak, TargetSize / SiteCount,
                  static_cast<double>(JoinPeak) * Scale));
  Out.atMost("appends a second, a data center lost",
             static_cast<double>(DeathPeak) * Scale, 300);
  Out.atMost("appends a second, a data center back",
             static_cast<double>(JoinPeak) * Scale, 300);
}

} // namespace

void measureCost(std::uint64_t Seed, Figures &Out) {
  Out.note("control by daemon, in virtual time, 27,000 changes a day");
  std::vector<std::pair<int, double>> Points;
  for (int Size : {28, 56, 112, 224, 448})
    Points.emplace_back(Size, runSize(Seed, Size, Out));
  double Slope = (Points.back().second - Points.front().second) /
                 (Points.back().first - Points.front().first);
  double AtTarget = std::max(0.0, Slope) * (TargetSize - Points.back().first) +
                    Points.back().second;
  Out.note(fmt::format("  slope {:.3f} B/s by daemon", Slope));
  Out.atMost(fmt::format("bytes a second sent at {} by slope", TargetSize),
             AtTarget, BudgetBytes);
  Out.add("control_bytes", AtTarget);
  loseSite(Seed, Out);
}

} // namespace knapweedloft::fleet
