#ifndef KNAPWEEDLOFT_LOGSERVICE_LOGSTORE_H
#define KNAPWEEDLOFT_LOGSERVICE_LOGSTORE_H

#include "logservice/LogFaults.h"
#include "platform/LogRead.h"
#include "platform/LogService.h"

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace knapweedloft::logservice {

/// Streams of records in memory that stand in for the platform's log in tests,
/// with its retention and its faults. Thread-safe.
///
/// \code
///   LogStore Store({.m_KeptRecords = 1000});
///   Store.setFaults({.m_LoseAnswers = 1});
///   platform::LogService Log = Store.service();
/// \endcode
class LogStore {
public:
  struct Options {
    std::size_t m_KeptRecords = SIZE_MAX; ///< A stream; older ones expire.
  };

  explicit LogStore(Options Settings) : m_Settings(Settings) {}
  LogStore() : LogStore(Options{}) {}

  /// Appends and reads that throw as LogService demands. A call to a mute
  /// store fails as unavailable at once here.
  /// \throws platform::PlatformError
  model::LogOffset append(const std::string &Stream, std::string_view Payload);
  platform::LogRead read(const std::string &Stream, model::LogOffset From,
                         std::size_t MaxRecords, absl::Duration Wait);

  /// \returns hooks that call this store, which must outlive them.
  [[nodiscard]] platform::LogService service();

  void setFaults(LogFaults Faults);

  /// Drops the records before \p Offset.
  void expireBefore(const std::string &Stream, model::LogOffset Offset);

  /// Waits until no fault of mute holds or the store is closed.
  void awaitVoice();
  [[nodiscard]] bool isMute();

  /// \returns whether this call is to be answered with garbage; counts down.
  [[nodiscard]] bool takeGarbageAnswer();

  /// Ends every wait, now and from now on.
  void close();

  [[nodiscard]] model::LogOffset end(const std::string &Stream);
  /// Appends that took effect since the start, in all streams.
  [[nodiscard]] std::uint64_t appendCount();

private:
  struct StreamState {
    model::LogOffset m_First = 0;
    std::deque<std::string> m_Payloads;
    [[nodiscard]] model::LogOffset end() const {
      return m_First + m_Payloads.size();
    }
  };

  void slowDown();
  void failIfAway() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_Mutex);
  model::LogOffset store(const std::string &Stream, std::string_view Payload)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_Mutex);
  platform::LogRead copyRecords(const StreamState &Stream,
                                model::LogOffset From, std::size_t MaxRecords)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_Mutex);

  const Options m_Settings;
  absl::Mutex m_Mutex;
  absl::flat_hash_map<std::string, StreamState>
      m_Streams ABSL_GUARDED_BY(m_Mutex);
  LogFaults m_Faults ABSL_GUARDED_BY(m_Mutex);
  std::uint64_t m_AppendCount ABSL_GUARDED_BY(m_Mutex) = 0;
  bool m_IsClosed ABSL_GUARDED_BY(m_Mutex) = false;
};

} // namespace knapweedloft::logservice

#endif // KNAPWEEDLOFT_LOGSERVICE_LOGSTORE_H
