#include "telemetry/LogLine.h"

#include <cstddef>

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

/// \returns the value at the begin of \p Text, which may be quoted.
std::string_view valueAt(std::string_view Text) {
  if (!Text.starts_with('"'))
    return Text.substr(0, Text.find(' '));
  std::size_t End = 1;
  while (End < Text.size() && Text[End] != '"')
    End += Text[End] == '\\' ? 2 : 1;
  return Text.substr(1, End - 1);
}

} // namespace

std::optional<LogLine> LogLine::parse(std::string_view Text) {
  auto At = findTime(Text);
  if (!At)
    return std::nullopt;
  return LogLine{.m_Process = wordBefore(Text, *At),
                 .m_Time = Text.substr(*At, TimeLength),
                 .m_Rest = Text.substr(*At + TimeLength + 1)};
}

std::string_view LogLine::part() const {
  std::size_t Colon = m_Rest.find(": ");
  return Colon == std::string_view::npos ? std::string_view()
                                         : m_Rest.substr(0, Colon);
}

bool LogLine::says(std::string_view Part, std::string_view Wanted) const {
  if (part() != Part)
    return false;
  std::string_view Sentence = m_Rest.substr(Part.size() + 2);
  if (!Sentence.starts_with(Wanted))
    return false;
  return Sentence.size() == Wanted.size() || Sentence[Wanted.size()] == ' ';
}

std::optional<std::string_view> LogLine::field(std::string_view Key) const {
  for (std::size_t At = m_Rest.find(Key); At != std::string_view::npos;
       At = m_Rest.find(Key, At + 1)) {
    std::size_t End = At + Key.size();
    bool IsKey = At > 0 && m_Rest[At - 1] == ' ' && End < m_Rest.size() &&
                 m_Rest[End] == '=';
    if (IsKey)
      return valueAt(m_Rest.substr(End + 1));
  }
  return std::nullopt;
}

} // namespace knapweedloft::telemetry
