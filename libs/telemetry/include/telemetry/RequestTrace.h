#ifndef KNAPWEEDLOFT_TELEMETRY_REQUESTTRACE_H
#define KNAPWEEDLOFT_TELEMETRY_REQUESTTRACE_H

#include <cstddef>
#include <iosfwd>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace knapweedloft::telemetry {

/// Joins the log lines of several processes to the course of one request.
///
/// Takes lines as EventLog writes them, each in a file of its process or with
/// the name of the process before the time, as log collectors put it. Lines
/// that are no log lines are passed over.
///
/// \code
///   RequestTrace Trace("9c41d07be2a35f68");
///   Trace.read("daemon-1", Stream);
///   fmt::print("{}", Trace.text());
/// \endcode
class RequestTrace {
public:
  explicit RequestTrace(std::string Id) : m_Id(std::move(Id)) {}

  /// Reads the log of a process; \p Source names it where its lines do not.
  void read(const std::string &Source, std::istream &From);

  /// \returns how many lines name the request.
  [[nodiscard]] std::size_t found() const { return m_Lines.size(); }

  /// \returns the lines in the order of their time, each with its process, and
  /// the processes that have no line of it.
  [[nodiscard]] std::string text() const;

private:
  struct Line {
    std::string m_Time; ///< As written; sorts as text.
    std::string m_Process;
    std::string m_Rest; ///< Part, sentence and fields.
  };

  void take(const std::string &Source, std::string_view Text);

  std::string m_Id;
  std::vector<Line> m_Lines;
  std::map<std::string, std::size_t> m_Processes; ///< Lines of the request.
};

} // namespace knapweedloft::telemetry

#endif // KNAPWEEDLOFT_TELEMETRY_REQUESTTRACE_H
