#ifndef KNAPWEEDLOFT_HARNESS_OUTPUTLINES_H
#define KNAPWEEDLOFT_HARNESS_OUTPUTLINES_H

#include "absl/synchronization/mutex.h"

#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

namespace knapweedloft::harness {

/// Reads a pipe on a thread of its own and keeps its lines, the oldest ones
/// dropped past a limit.
class OutputLines {
public:
  OutputLines() = default;
  ~OutputLines();
  OutputLines(const OutputLines &) = delete;
  OutputLines &operator=(const OutputLines &) = delete;

  /// Takes over the reading end \p Pipe.
  void start(int Pipe);

  /// Blocks until a line contains \p Text.
  /// \returns it, or nothing if the pipe ends before.
  [[nodiscard]] std::optional<std::string> await(std::string_view Text);

  /// Blocks until the pipe ends.
  void awaitEnd();

  [[nodiscard]] std::string text() const;

private:
  void run();
  void addBytes(std::string_view Bytes) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_Mutex);
  [[nodiscard]] const std::string *find(std::string_view Text) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_Mutex);

  int m_Pipe = -1;
  mutable absl::Mutex m_Mutex;
  absl::CondVar m_Changed;
  std::deque<std::string> m_Lines ABSL_GUARDED_BY(m_Mutex);
  std::string m_Rest ABSL_GUARDED_BY(m_Mutex);
  bool m_HasEnded ABSL_GUARDED_BY(m_Mutex) = false;
  std::thread m_Thread;
};

} // namespace knapweedloft::harness

#endif // KNAPWEEDLOFT_HARNESS_OUTPUTLINES_H
