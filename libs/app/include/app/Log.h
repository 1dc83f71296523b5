#ifndef KNAPWEEDLOFT_APP_LOG_H
#define KNAPWEEDLOFT_APP_LOG_H

#include "app/LogField.h"
#include "app/LogLevel.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace knapweedloft::app {

/// Writes the log lines of one part of a daemon to standard error.
///
/// A line has the time, the level, the part's prefix, a short sentence and
/// fields. It goes out in one write, so that lines of several threads do not
/// mix. Callable from any thread.
///
/// \code
///   constexpr Log CallerLog{"caller"};
///   CallerLog.info("Listening.", {{"address", Address}, {"port", Port}});
/// \endcode
class Log {
public:
  using Fields = std::initializer_list<LogField>;

  explicit constexpr Log(std::string_view Part) : m_Part(Part) {}

  void error(std::string_view Sentence, Fields Values = {}) const;
  void warning(std::string_view Sentence, Fields Values = {}) const;
  void info(std::string_view Sentence, Fields Values = {}) const;
  void debug(std::string_view Sentence, Fields Values = {}) const;

  /// Sets the level of the process; lines past it are left out.
  static void setLevel(LogLevel Level);

  /// \returns whether lines of \p Level are written.
  [[nodiscard]] static bool isWritten(LogLevel Level);

private:
  void write(LogLevel Level, std::string_view Sentence, Fields Values) const;

  std::string_view m_Part;
};

/// \returns the line, with its line feed. Values with blanks or control
/// characters are quoted and escaped.
[[nodiscard]] std::string formatLogLine(absl::Time WallTime, LogLevel Level,
                                        std::string_view Part,
                                        std::string_view Sentence,
                                        Log::Fields Values);

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_LOG_H
