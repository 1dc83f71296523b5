#ifndef KNAPWEEDLOFT_TARGET_RUNLEDGER_H
#define KNAPWEEDLOFT_TARGET_RUNLEDGER_H

#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"

#include <cstdint>
#include <string>

namespace knapweedloft::target {

/// What a target ran, by the call id that the load tool sends along.
/// With a journal each start is also a line of a file, written before the
/// request is worked on, so that it outlives a process that is killed.
class RunLedger {
public:
  /// \p Journal is appended to; empty: none.
  explicit RunLedger(const std::string &Journal = "");
  ~RunLedger();
  RunLedger(const RunLedger &) = delete;
  RunLedger &operator=(const RunLedger &) = delete;

  void onStart(const std::string &CallId);
  void onEnd(const std::string &CallId);
  void onKeySeen();

  /// \returns {"calls": [{"id", "starts", "ends"}], "keys_seen"} as JSON.
  [[nodiscard]] std::string toJson() const;

private:
  struct Entry {
    std::uint32_t m_Starts = 0;
    std::uint32_t m_Ends = 0;
  };

  void writeLine(const std::string &Line);

  int m_Journal = -1;
  mutable absl::Mutex m_Mutex;
  absl::flat_hash_map<std::string, Entry> m_Entries ABSL_GUARDED_BY(m_Mutex);
  std::uint64_t m_KeysSeen ABSL_GUARDED_BY(m_Mutex) = 0;
};

} // namespace knapweedloft::target

#endif // KNAPWEEDLOFT_TARGET_RUNLEDGER_H
