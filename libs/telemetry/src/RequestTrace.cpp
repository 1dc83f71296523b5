#include "telemetry/RequestTrace.h"

#include "telemetry/LogLine.h"

#include "fmt/format.h"

#include <algorithm>
#include <istream>
#include <iterator>

namespace knapweedloft::telemetry {

void RequestTrace::read(const std::string &Source, std::istream &From) {
  m_Processes.try_emplace(Source, 0);
  bool HasNames = false;
  std::string Text;
  while (std::getline(From, Text)) {
    take(Source, Text);
    auto Line = LogLine::parse(Text);
    HasNames = HasNames || (Line && !Line->m_Process.empty());
  }
  // The file holds the lines of several processes, which name themselves.
  if (HasNames && m_Processes[Source] == 0)
    m_Processes.erase(Source);
}

void RequestTrace::take(const std::string &Source, std::string_view Text) {
  auto Parsed = LogLine::parse(Text);
  if (!Parsed)
    return;
  std::string Process =
      Parsed->m_Process.empty() ? Source : std::string(Parsed->m_Process);
  std::size_t &Count = m_Processes[Process];
  if (Parsed->field("id") != m_Id)
    return;
  ++Count;
  m_Lines.push_back(
      {std::string(Parsed->m_Time), Process, std::string(Parsed->m_Rest)});
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
