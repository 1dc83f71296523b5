#ifndef KNAPWEEDLOFT_REVIEW3_MEMORYLIMIT_H
#define KNAPWEEDLOFT_REVIEW3_MEMORYLIMIT_H

#include "Site.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace knapweedloft::review3 {

/// Ends each process that holds more than the memory of its settings, as the
/// platform does, and starts it again.
class MemoryLimit {
public:
  MemoryLimit(Site &Of, Record &Log);
  ~MemoryLimit();
  MemoryLimit(const MemoryLimit &) = delete;
  MemoryLimit &operator=(const MemoryLimit &) = delete;

  void stop();
  /// \returns how often the process of each machine has ended, and the most
  /// that one has held, for the record.
  [[nodiscard]] std::string summary();

private:
  void run();
  void look(Daemon &Process);

  Site &m_Site;
  Record &m_Log;
  std::atomic<bool> m_IsStopping{false};
  std::map<Daemon *, double> m_Restarts;
  std::mutex m_Mutex;
  std::map<std::string, int> m_Ends;
  double m_PeakMb = 0;
  std::thread m_Thread;
};

} // namespace knapweedloft::review3

#endif // KNAPWEEDLOFT_REVIEW3_MEMORYLIMIT_H
