#include "telemetry/LossTable.h"

#include "absl/strings/numbers.h"
#include "absl/strings/string_view.h"
#include "fmt/format.h"
#include "nlohmann/json.hpp"

#include <algorithm>
#include <array>
#include <istream>
#include <iterator>
#include <map>
#include <optional>
#include <utility>

namespace knapweedloft::telemetry {
namespace {

constexpr std::uint64_t ProgressBytes = 1 << 20;
constexpr const char *EntrySide = "entry";

absl::string_view toAbsl(std::string_view Text) {
  return {Text.data(), Text.size()};
}

std::optional<absl::Time> timeOf(const LogLine &Line) {
  absl::Time At;
  std::string Error;
  if (!absl::ParseTime(absl::RFC3339_full, toAbsl(Line.m_Time), &At, &Error))
    return std::nullopt;
  return At;
}

/// \returns a duration as the log has it, such as 421.4ms; zero if it is none.
absl::Duration durationOf(std::optional<std::string_view> Text) {
  double Milliseconds = 0;
  if (!Text || !Text->ends_with("ms") ||
      !absl::SimpleAtod(toAbsl(Text->substr(0, Text->size() - 2)),
                        &Milliseconds))
    return absl::ZeroDuration();
  return absl::Milliseconds(Milliseconds);
}

std::uint64_t numberOf(std::optional<std::string_view> Text) {
  std::uint64_t Value = 0;
  return Text && absl::SimpleAtoi(toAbsl(*Text), &Value) ? Value : 0;
}

/// Reads a line of bounded length; what is longer is cut off.
/// \returns the bytes that it took; 0 at the end.
std::uint64_t readLine(std::istream &From, std::string &Line,
                       std::size_t MaxBytes) {
  Line.clear();
  std::uint64_t Taken = 0;
  for (int Next = From.get(); Next != std::istream::traits_type::eof();
       Next = From.get()) {
    ++Taken;
    if (Next == '\n')
      return Taken;
    if (Line.size() < MaxBytes)
      Line += static_cast<char>(Next);
  }
  return Taken;
}

using Kind = LossKind;

bool isLoss(const LossOutcome &Of) {
  return Of.m_Kind != Kind::Served && Of.m_Kind != Kind::Retried;
}

double meanMsOf(const LossTable::Count &Of) {
  return Of.m_Requests == 0 ? 0
                            : absl::ToDoubleMilliseconds(Of.m_Held) /
                                  static_cast<double>(Of.m_Requests);
}

constexpr std::array<Kind, 5> Kinds = {Kind::Served, Kind::Late, Kind::Refused,
                                       Kind::Failed, Kind::Retried};

/// Requests by kind of outcome.
using KindCounts = std::map<Kind, std::uint64_t>;

std::string row(const std::string &First, const KindCounts &Counts) {
  std::string Text = fmt::format("{:<32}", First);
  for (Kind Of : Kinds) {
    auto Found = Counts.find(Of);
    fmt::format_to(std::back_inserter(Text), " {:>9}",
                   Found == Counts.end() ? 0 : Found->second);
  }
  return Text + "\n";
}

std::string heading(const std::string &First) {
  std::string Text = fmt::format("{:<32}", First);
  for (Kind Of : Kinds)
    fmt::format_to(std::back_inserter(Text), " {:>9}",
                   LossKindNames.nameOf(Of));
  return Text + "\n";
}

} // namespace

LossTable::LossTable(Options Settings)
    : m_Options(std::move(Settings)), m_Interval(m_Options.m_Interval) {}

void LossTable::read(const std::string &Source, std::istream &From) {
  Unreadable Bad{.m_Source = Source};
  std::string Line;
  std::uint64_t Number = 0;
  std::uint64_t Bytes = 0;
  std::uint64_t Told = 0;
  while (std::uint64_t Taken = readLine(From, Line, m_Options.m_MaxLineBytes)) {
    ++Number;
    Bytes += Taken;
    if (!Line.empty() && !take(Line) && ++Bad.m_Lines == 1)
      Bad.m_First = Number;
    if (m_Options.m_OnProgress && Bytes - Told >= ProgressBytes)
      m_Options.m_OnProgress(Source, Told = Bytes);
  }
  if (Bad.m_Lines > 0)
    m_Unreadable.push_back(std::move(Bad));
}

bool LossTable::take(std::string_view Text) {
  auto Line = LogLine::parse(Text);
  if (!Line || Line->part().empty())
    return false;
  if (Line->says("log", "Lines were dropped."))
    m_Dropped +=
        numberOf(Line->field("routine")) + numberOf(Line->field("notable"));
  return Line->part() != EntrySide || count(*Line);
}

/// \returns whether the line could be read.
bool LossTable::count(const LogLine &Line) {
  auto Says = [&Line](std::string_view Sentence) {
    return Line.says(EntrySide, Sentence);
  };
  LossOutcome Of;
  if (Says("Request answered."))
    Of = {Line.field("late") == "true" ? Kind::Late : Kind::Served, ""};
  else if (Says("Request answered with the target's error."))
    Of = {Kind::Failed,
          "status " + std::string(Line.field("status").value_or(""))};
  else if (Says("Request refused."))
    Of = {Line.field("ran") == "no" ? Kind::Refused : Kind::Failed,
          std::string(Line.field("reason").value_or(""))};
  else if (Says("Request retried at another target."))
    Of = {Kind::Retried, std::string(Line.field("why").value_or(""))};
  else
    return true;
  auto At = timeOf(Line);
  bool HasRoute = Of.m_Kind == Kind::Retried || Line.field("route");
  bool IsAnswered = Of.m_Kind == Kind::Served || Of.m_Kind == Kind::Late;
  bool HasReason = IsAnswered || !Of.m_Reason.empty();
  if (!At || !HasRoute || !HasReason)
    return false;
  add(Line, *At, std::move(Of));
  return true;
}

void LossTable::add(const LogLine &Line, absl::Time At, LossOutcome Of) {
  Cell Key{.m_Interval = (At - absl::UnixEpoch()) / m_Interval,
           .m_Route = std::string(Line.field("route").value_or("")),
           .m_Outcome = std::move(Of)};
  Count &Found = m_Cells[std::move(Key)];
  ++Found.m_Requests;
  Found.m_Held +=
      durationOf(Line.field("held") ? Line.field("held") : Line.field("took"));
  while (m_Cells.size() > m_Options.m_MaxCells &&
         m_Interval < absl::Hours(24 * 365))
    joinIntervals();
}

void LossTable::joinIntervals() {
  absl::btree_map<Cell, Count> Joined;
  for (const auto &[Key, Counted] : m_Cells) {
    Cell Wider = Key;
    Wider.m_Interval /= 2;
    Joined[std::move(Wider)].add(Counted);
  }
  m_Cells = std::move(Joined);
  m_Interval *= 2;
}

LossTable::Count LossTable::total(const LossOutcome &Of) const {
  Count Sum;
  for (const auto &[Key, Counted] : m_Cells)
    if (Key.m_Outcome == Of)
      Sum.add(Counted);
  return Sum;
}

std::string LossTable::textByTime() const {
  std::map<std::int64_t, KindCounts> Times;
  for (const auto &[Key, Counted] : m_Cells)
    Times[Key.m_Interval][Key.m_Outcome.m_Kind] += Counted.m_Requests;
  std::string Text = heading("from");
  for (const auto &[Interval, Counts] : Times)
    Text += row(absl::FormatTime("%Y-%m-%dT%H:%M:%SZ",
                                 absl::UnixEpoch() + Interval * m_Interval,
                                 absl::UTCTimeZone()),
                Counts);
  return Text;
}

std::string LossTable::textByRoute() const {
  std::map<std::string, KindCounts> Routes;
  for (const auto &[Key, Counted] : m_Cells)
    if (Key.m_Outcome.m_Kind != Kind::Retried)
      Routes[Key.m_Route][Key.m_Outcome.m_Kind] += Counted.m_Requests;
  std::string Text = heading("route");
  for (const auto &[Route, Counts] : Routes)
    Text += row(Route.empty() ? "(none)" : Route, Counts);
  return Text;
}

std::string LossTable::textByOutcome() const {
  std::map<std::pair<std::string, LossOutcome>, Count> Losses;
  for (const auto &[Key, Counted] : m_Cells)
    if (isLoss(Key.m_Outcome))
      Losses[{Key.m_Route, Key.m_Outcome}].add(Counted);
  std::vector<std::pair<std::pair<std::string, LossOutcome>, Count>> Sorted(
      Losses.begin(), Losses.end());
  std::stable_sort(Sorted.begin(), Sorted.end(),
                   [](const auto &Left, const auto &Right) {
                     return Left.second.m_Requests > Right.second.m_Requests;
                   });
  std::string Text = fmt::format("{:<32} {:<9} {:<24} {:>9} {:>10}\n", "route",
                                 "lost", "why", "requests", "mean ms");
  for (const auto &[Key, Counted] : Sorted)
    fmt::format_to(std::back_inserter(Text),
                   "{:<32} {:<9} {:<24} {:>9} {:>10.1f}\n",
                   Key.first.empty() ? "(none)" : Key.first,
                   LossKindNames.nameOf(Key.second.m_Kind), Key.second.m_Reason,
                   Counted.m_Requests, meanMsOf(Counted));
  return Text;
}

std::string LossTable::notes() const {
  std::string Text;
  if (m_Dropped > 0)
    fmt::format_to(std::back_inserter(Text),
                   "The daemons dropped {} lines: counts are too low.\n",
                   m_Dropped);
  if (m_Interval != m_Options.m_Interval)
    Text +=
        "Intervals were joined to " + absl::FormatDuration(m_Interval) + ".\n";
  for (const Unreadable &Bad : m_Unreadable)
    fmt::format_to(std::back_inserter(Text),
                   "{}: {} lines could not be read, the first is line {}.\n",
                   Bad.m_Source, Bad.m_Lines, Bad.m_First);
  return Text;
}

std::string LossTable::text() const {
  return textByTime() + "\n" + textByRoute() + "\n" + textByOutcome() + "\n" +
         notes();
}

std::string LossTable::json() const {
  nlohmann::json Rows = nlohmann::json::array();
  for (const auto &[Key, Counted] : m_Cells)
    Rows.push_back(
        {{"from", absl::ToDoubleSeconds(Key.m_Interval * m_Interval)},
         {"route", Key.m_Route},
         {"outcome", LossKindNames.nameOf(Key.m_Outcome.m_Kind)},
         {"reason", Key.m_Outcome.m_Reason},
         {"requests", Counted.m_Requests},
         {"mean_ms", meanMsOf(Counted)}});
  nlohmann::json Bad = nlohmann::json::array();
  for (const Unreadable &One : m_Unreadable)
    Bad.push_back({{"source", One.m_Source},
                   {"lines", One.m_Lines},
                   {"first", One.m_First}});
  nlohmann::json Document = {{"interval_s", absl::ToDoubleSeconds(m_Interval)},
                             {"dropped_lines", m_Dropped},
                             {"unreadable", std::move(Bad)},
                             {"counts", std::move(Rows)}};
  return Document.dump(1, ' ', false,
                       nlohmann::json::error_handler_t::replace) +
         "\n";
}

} // namespace knapweedloft::telemetry
