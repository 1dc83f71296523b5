#ifndef KNAPWEEDLOFT_MODEL_MEMBER_H
#define KNAPWEEDLOFT_MODEL_MEMBER_H

#include "model/Endpoint.h"
#include "model/Incarnation.h"

#include <string>

namespace knapweedloft::model {

/// A daemon of the fleet and the target beside it.
struct Member {
  std::string m_Name; ///< 1 to 64 of [a-z0-9-], one for each slot.
  Incarnation m_Incarnation = 0;
  Endpoint m_Link; ///< Where it accepts links from its peers.
  std::string m_Region;
  std::string m_DataCenter;
  std::string m_Service; ///< What its target serves; empty without a target.

  friend bool operator==(const Member &, const Member &) = default;
};

} // namespace knapweedloft::model

#endif // KNAPWEEDLOFT_MODEL_MEMBER_H
