#ifndef KNAPWEEDLOFT_TARGET_TARGETOPTIONS_H
#define KNAPWEEDLOFT_TARGET_TARGETOPTIONS_H

#include "absl/time/time.h"

#include <cstdint>
#include <string>

namespace knapweedloft::target {

/// How a stand-in target behaves.
struct TargetOptions {
  std::string m_Service;
  std::string m_Address = "127.0.0.1";
  std::uint16_t m_Port = 0; ///< 0: the kernel chooses.
  unsigned m_Threads = 2;
  unsigned m_Slots = 8; ///< Requests worked on at once; more wait in line.
  absl::Duration m_WorkTime = absl::Milliseconds(1);
  std::string m_Daemon; ///< "127.0.0.1:8080"; empty: no announcement.
  std::string m_Calls;  ///< Path called through the daemon; empty: none.
  absl::Duration m_ColdTime = absl::ZeroDuration();
  unsigned m_ColdSlots = 1; ///< Slots during the cold time after the start.
  std::string m_Journal;    ///< File that starts are appended to, or empty.
  std::string m_CrashOn;    ///< Text that ends the process; empty: none.
};

} // namespace knapweedloft::target

#endif // KNAPWEEDLOFT_TARGET_TARGETOPTIONS_H
