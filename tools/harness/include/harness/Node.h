#ifndef KNAPWEEDLOFT_HARNESS_NODE_H
#define KNAPWEEDLOFT_HARNESS_NODE_H

#include "harness/NodeOptions.h"
#include "harness/Process.h"

#include <cstdint>
#include <memory>

namespace knapweedloft::harness {

/// One running VM of a site. Its processes may be ended and started again.
struct Node {
  NodeOptions m_Options;
  std::string m_SettingsPath;
  std::unique_ptr<Process> m_Daemon;
  std::unique_ptr<Process> m_Target; ///< Null without a service.
  std::uint16_t m_CallerPort = 0;
  std::uint16_t m_ApiPort = 0;
  std::uint16_t m_TargetPort = 0;
};

} // namespace knapweedloft::harness

#endif // KNAPWEEDLOFT_HARNESS_NODE_H
