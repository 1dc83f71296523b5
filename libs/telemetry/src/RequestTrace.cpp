#include "telemetry/RequestTrace.h"

#include "fmt/format.h"

#include <algorithm>
#include <istream>
#include <iterator>
#include <optional>

namespace knapweedloft::telemetry {
namespace {

/// Length of 2026-12-03T22:35:42.123Z.
constexpr std::size_t TimeLength = 24;

/// \returns where the time of a log line begins.
std::optional<std::size_t> findTime(std::string_view Text) {
  for (std::size_t At = 0; At + TimeLength < Text.size(); ++At) {
    std::string_view Time = Text.substr(At, TimeLength);
    bool IsStart = At == 0 || Text[At - 1] == ' ';
    if (IsStart && Time[4] == '-' && Time[7] == '-' && Time[10] == 'T' &&
        Time[13] == ':' && Time[16] == ':' && Time[23] == 'Z')
      return At;
  }
  return std::nullopt;
}

/// \returns the word before \p At, empty if there is none.
std::string_view wordBefore(std::string_view Text, std::size_t At) {
  std::string_view Before = Text.substr(0, At);
  while (Before.ends_with(' '))
    Before.remove_suffix(1);
  std::size_t Blank = Before.rfind(' ');
  return Blank == std::string_view::npos ? Before : Before.substr(Blank + 1);
}

bool namesRequest(std::string_view Text, const std::string &Id) {
  std::string Field = " id=" + Id;
  std::size_t At = Text.find(Field);
  if (At == std::string_view::npos)
    return false;
  std::size_t End = At + Field.size();
  return End == Text.size() || Text[End] == ' ';
}

} // namespace

void RequestTrace::read(const std::string &Source, std::istream &From) {
  m_Processes.try_emplace(Source, 0);
  bool HasNames = false;
  std::string Text;
  while (std::getline(From, Text)) {
    take(Source, Text);
    auto At = findTime(Text);
    HasNames = HasNames || (At && !wordBefore(Text, *At).empty());
  }
  // The file holds the lines of several processes, which name themselves.
  if (HasNames && m_Processes[Source] == 0)
    m_Processes.erase(Source);
}

void RequestTrace::take(const std::string &Source, std::string_view Text) {
  auto At = findTime(Text);
  if (!At)
    return;
  std::string_view Named = wordBefore(Text, *At);
  std::string Process = Named.empty() ? Source : std::string(Named);
  std::size_t &Count = m_Processes[Process];
  std::string_view Rest = Text.substr(*At + TimeLength + 1);
  if (!namesRequest(Rest, m_Id))
    return;
  ++Count;
  m_Lines.push_back(
      {std::string(Text.substr(*At, TimeLength)), Process, std::string(Rest)});
}

std::string RequestTrace::text() const {
  std::vector<Line> Sorted = m_Lines;
  std::stable_sort(Sorted.begin(), Sorted.end(),
                   [](const Line &Left, const Line &Right) {
                     return Left.m_Time < Right.m_Time;
                   });
  std::string Text;
  for (const Line &One : Sorted)
    fmt::format_to(std::back_inserter(Text), "{} {} {}\n", One.m_Time,
                   One.m_Process, One.m_Rest);
  std::string Silent;
  for (const auto &[Process, Count] : m_Processes)
    if (Count == 0)
      Silent += " " + Process;
  if (!Silent.empty())
    Text += "No line of it from:" + Silent + "\n";
  return Text;
}

} // namespace knapweedloft::telemetry
