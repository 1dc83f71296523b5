#ifndef KNAPWEEDLOFT_HARNESS_PROCESS_H
#define KNAPWEEDLOFT_HARNESS_PROCESS_H

#include "harness/OutputLines.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace knapweedloft::harness {

/// A child process whose output is kept line by line. Killed and reaped when
/// it goes out of scope.
///
/// \code
///   Process Log({"build/bin/knapweedloft-logservice"});
///   std::uint16_t Port = Log.awaitPort("listening");
///   Log.signal(SIGTERM);
///   int Code = Log.wait();
/// \endcode
class Process {
public:
  /// Starts \p Command; its first word is the program's path. With \p LogPath
  /// its standard output is appended to that file instead of being kept.
  /// \throws HarnessError if it cannot be started.
  explicit Process(const std::vector<std::string> &Command,
                   const std::string &LogPath = "");
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  /// Blocks until a line on standard error contains \p Text.
  /// \returns the line.
  /// \throws HarnessError if the process ends before.
  [[nodiscard]] std::string awaitLine(std::string_view Text);

  /// Blocks as awaitLine(). \returns the number after "port=" on that line.
  [[nodiscard]] std::uint16_t awaitPort(std::string_view Text);

  void signal(int Signal) const;

  /// Blocks until the process ends. \returns its exit code, or 128 and the
  /// number of the signal that killed it.
  int wait();

  [[nodiscard]] bool isRunning();
  [[nodiscard]] pid_t id() const { return m_Id; }
  [[nodiscard]] std::string output() const { return m_Output.text(); }
  [[nodiscard]] std::string errors() const { return m_Errors.text(); }

private:
  bool reap(int Options);

  pid_t m_Id = -1;
  std::optional<int> m_Code;
  OutputLines m_Output;
  OutputLines m_Errors;
};

} // namespace knapweedloft::harness

#endif // KNAPWEEDLOFT_HARNESS_PROCESS_H
