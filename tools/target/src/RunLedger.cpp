#include "target/RunLedger.h"

#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <unistd.h>

namespace knapweedloft::target {

RunLedger::RunLedger(const std::string &Journal) {
  if (Journal.empty())
    return;
  constexpr int Mode = 0600;
  m_Journal =
      ::open(Journal.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, Mode);
  if (m_Journal < 0)
    throw std::runtime_error("cannot write the journal " + Journal);
}

RunLedger::~RunLedger() {
  if (m_Journal >= 0)
    ::close(m_Journal);
}

void RunLedger::writeLine(const std::string &Line) {
  if (m_Journal < 0)
    return;
  std::string Bytes = Line + "\n";
  if (::write(m_Journal, Bytes.data(), Bytes.size()) !=
      static_cast<ssize_t>(Bytes.size()))
    std::abort();
}

void RunLedger::onStart(const std::string &CallId) {
  writeLine("start " + CallId);
  absl::MutexLock Lock(&m_Mutex);
  ++m_Entries[CallId].m_Starts;
}

void RunLedger::onEnd(const std::string &CallId) {
  absl::MutexLock Lock(&m_Mutex);
  ++m_Entries[CallId].m_Ends;
}

void RunLedger::onKeySeen() {
  writeLine("key seen");
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
