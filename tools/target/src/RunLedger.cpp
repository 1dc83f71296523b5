#include "target/RunLedger.h"

#include <nlohmann/json.hpp>

namespace knapweedloft::target {

void RunLedger::onStart(const std::string &CallId) {
  absl::MutexLock Lock(&m_Mutex);
  ++m_Entries[CallId].m_Starts;
}

void RunLedger::onEnd(const std::string &CallId) {
  absl::MutexLock Lock(&m_Mutex);
  ++m_Entries[CallId].m_Ends;
}

void RunLedger::onKeySeen() {
  absl::MutexLock Lock(&m_Mutex);
  ++m_KeysSeen;
}

std::string RunLedger::toJson() const {
  absl::MutexLock Lock(&m_Mutex);
  auto Calls = nlohmann::json::array();
  for (const auto &[Id, Entry] : m_Entries)
    Calls.push_back(
        {{"id", Id}, {"starts", Entry.m_Starts}, {"ends", Entry.m_Ends}});
  return nlohmann::json{{"calls", std::move(Calls)}, {"keys_seen", m_KeysSeen}}
      .dump();
}

} // namespace knapweedloft::target
