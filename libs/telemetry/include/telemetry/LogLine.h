#ifndef KNAPWEEDLOFT_TELEMETRY_LOGLINE_H
#define KNAPWEEDLOFT_TELEMETRY_LOGLINE_H

#include <optional>
#include <string_view>

namespace knapweedloft::telemetry {

/// A line as EventLog writes it, `TIME PART: sentence key=value ...`, perhaps
/// with the name of its process before the time, as log collectors put it. The
/// views are into the text that was read.
struct LogLine {
  std::string_view m_Process; ///< Empty if the line does not name it.
  std::string_view m_Time;    ///< As written; sorts as text.
  std::string_view m_Rest;    ///< Part, sentence and fields.

  /// \returns the line, or nothing if \p Text has no time.
  [[nodiscard]] static std::optional<LogLine> parse(std::string_view Text);

  /// \returns the part of the daemon that wrote it; empty if it names none.
  [[nodiscard]] std::string_view part() const;
  /// \returns whether it is the sentence \p Wanted, of the part that wrote it.
  [[nodiscard]] bool says(std::string_view Part, std::string_view Wanted) const;
  /// \returns the value of a field as it is written, without its quotes.
  [[nodiscard]] std::optional<std::string_view>
  field(std::string_view Key) const;
};

} // namespace knapweedloft::telemetry

#endif // KNAPWEEDLOFT_TELEMETRY_LOGLINE_H
