#ifndef KNAPWEEDLOFT_HARNESS_NODEOPTIONS_H
#define KNAPWEEDLOFT_HARNESS_NODEOPTIONS_H

#include <string>
#include <vector>

namespace knapweedloft::harness {

/// One VM of a site: a daemon, and the target beside it if it has a service.
struct NodeOptions {
  std::string m_Name;
  std::string m_Region = "vidzeme";
  std::string m_DataCenter = "cesis";
  std::string m_Service; ///< Empty: no target.
  /// Further arguments of the target, as {"--slots", "4"}.
  std::vector<std::string> m_TargetArguments;
  /// Lines put at the end of the daemon's settings file.
  std::string m_MoreSettings;
};

} // namespace knapweedloft::harness

#endif // KNAPWEEDLOFT_HARNESS_NODEOPTIONS_H
