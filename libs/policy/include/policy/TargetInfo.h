#ifndef KNAPWEEDLOFT_POLICY_TARGETINFO_H
#define KNAPWEEDLOFT_POLICY_TARGETINFO_H

#include "model/Incarnation.h"

#include <string>

namespace knapweedloft::policy {

/// A target of a service, as given to TargetChooser.
struct TargetInfo {
  model::Incarnation m_Incarnation = 0;
  std::string m_Name;
  std::string m_Region;
  std::string m_DataCenter;
  bool m_IsWithdrawn = false; ///< Gets no new requests.
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_TARGETINFO_H
