#ifndef KNAPWEEDLOFT_TARGET_RUNLEDGER_H
#define KNAPWEEDLOFT_TARGET_RUNLEDGER_H

#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"

#include <cstdint>
#include <string>

namespace knapweedloft::target {

/// What a target ran, by the call id that the load tool sends along.
class RunLedger {
public:
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

  mutable absl::Mutex m_Mutex;
  absl::flat_hash_map<std::string, Entry> m_Entries ABSL_GUARDED_BY(m_Mutex);
  std::uint64_t m_KeysSeen ABSL_GUARDED_BY(m_Mutex) = 0;
};

} // namespace knapweedloft::target

#endif // KNAPWEEDLOFT_TARGET_RUNLEDGER_H
