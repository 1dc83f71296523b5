#ifndef KNAPWEEDLOFT_LINK_SENDQUEUE_H
#define KNAPWEEDLOFT_LINK_SENDQUEUE_H

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace knapweedloft::link {

/// Frames that wait to be written to one link, bounded in bytes. Any thread
/// may push; one thread writes.
class SendQueue {
public:
  enum class Push : std::uint8_t {
    Refused, ///< Closed or full; the frame is gone.
    Queued,  ///< A flush is already due.
    FlushDue ///< The caller has to see to a flush.
  };
  enum class Flush : std::uint8_t { Empty, Blocked, Broken };

  explicit SendQueue(std::size_t MaxBytes) : m_MaxBytes(MaxBytes) {}

  Push push(std::string Frame);

  /// Refuses every frame from here on.
  void close();

  /// Writes what \p Socket takes without blocking; on the writing thread.
  Flush flush(int Socket);

  /// \returns bytes that wait.
  [[nodiscard]] std::size_t bytes() const;

private:
  void takePushed();
  void dropWritten(std::size_t Bytes);

  const std::size_t m_MaxBytes;
  mutable absl::Mutex m_Mutex;
  std::vector<std::string> m_Pushed ABSL_GUARDED_BY(m_Mutex);
  std::size_t m_Bytes ABSL_GUARDED_BY(m_Mutex) = 0;
  bool m_IsClosed ABSL_GUARDED_BY(m_Mutex) = false;
  bool m_IsFlushDue ABSL_GUARDED_BY(m_Mutex) = false;
  std::deque<std::string> m_Writing; ///< Of the writing thread.
  std::size_t m_FrontWritten = 0;    ///< Bytes of the first frame.
};

} // namespace knapweedloft::link

#endif // KNAPWEEDLOFT_LINK_SENDQUEUE_H
