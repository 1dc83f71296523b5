#ifndef KNAPWEEDLOFT_APP_APPENDQUEUE_H
#define KNAPWEEDLOFT_APP_APPENDQUEUE_H

#include "platform/LogService.h"

#include "absl/synchronization/mutex.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <string>
#include <thread>

namespace knapweedloft::app {

/// Appends records to the log one after the other on a thread of its own, for
/// components that must not block.
///
/// A failed append is reported and not repeated: the component looks at the
/// state whether its record is there and decides itself.
class AppendQueue {
public:
  /// \p IsAccepted tells that the log answered with an offset; false leaves
  /// open whether the record was written.
  using Done = std::function<void(bool IsAccepted)>;

  struct Options {
    platform::LogService m_Log;
    std::string m_Stream;
    std::size_t m_MaxQueued = 1024; ///< Past it append() fails.
  };

  explicit AppendQueue(Options Settings);
  /// Drops what is queued and waits for the append under way.
  ~AppendQueue();

  /// \p OnDone runs on the queue's thread. \returns false if the queue is full.
  bool append(std::string Payload, Done OnDone = nullptr);

  [[nodiscard]] std::size_t queued() const;

private:
  struct Item {
    std::string m_Payload;
    Done m_OnDone;
  };

  void work();
  [[nodiscard]] bool write(const std::string &Payload);

  Options m_Options;
  mutable absl::Mutex m_Mutex;
  std::deque<Item> m_Items ABSL_GUARDED_BY(m_Mutex);
  bool m_IsStopping ABSL_GUARDED_BY(m_Mutex) = false;
  std::thread m_Thread;
};

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_APPENDQUEUE_H
