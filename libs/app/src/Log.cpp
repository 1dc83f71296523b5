#include "app/Log.h"

#include "telemetry/LogText.h"

#include "absl/time/clock.h"

#include <algorithm>
#include <atomic>
#include <unistd.h>

namespace knapweedloft::app {
namespace {

std::atomic<LogLevel> &processLevel() {
  static std::atomic<LogLevel> Level = LogLevel::Info;
  return Level;
}

} // namespace

std::string formatLogLine(absl::Time WallTime, LogLevel Level,
                          std::string_view Part, std::string_view Sentence,
                          Log::Fields Values) {
  std::string Line =
      absl::FormatTime("%Y-%m-%dT%H:%M:%E3SZ", WallTime, absl::UTCTimeZone());
  fmt::format_to(std::back_inserter(Line), " {} {}: {}",
                 LogLevelNames.nameOf(Level), Part, Sentence);
  for (const LogField &Field : Values) {
    fmt::format_to(std::back_inserter(Line), " {}=", Field.m_Key);
    telemetry::appendLogValue(Line, Field.m_Value);
  }
  Line += '\n';
  return Line;
}

void Log::setLevel(LogLevel Level) { processLevel() = Level; }

bool Log::isWritten(LogLevel Level) { return Level <= processLevel(); }

void Log::write(LogLevel Level, std::string_view Sentence,
                Fields Values) const {
  if (!isWritten(Level))
    return;
  std::string Line =
      formatLogLine(absl::Now(), Level, m_Part, Sentence, Values);
  [[maybe_unused]] ssize_t Written =
      ::write(STDERR_FILENO, Line.data(), Line.size());
}

void Log::error(std::string_view Sentence, Fields Values) const {
  write(LogLevel::Error, Sentence, Values);
}

void Log::warning(std::string_view Sentence, Fields Values) const {
  write(LogLevel::Warning, Sentence, Values);
}

void Log::info(std::string_view Sentence, Fields Values) const {
  write(LogLevel::Info, Sentence, Values);
}

void Log::debug(std::string_view Sentence, Fields Values) const {
  write(LogLevel::Debug, Sentence, Values);
}

} // namespace knapweedloft::app
