#ifndef KNAPWEEDLOFT_STATE_MEMBERRECORDS_H
#define KNAPWEEDLOFT_STATE_MEMBERRECORDS_H

#include "model/Incarnation.h"
#include "model/Member.h"

#include <string>

namespace knapweedloft::state {

/// A daemon begins to take part. Replaces an earlier incarnation of the same
/// name, which may not join again.
struct Join {
  model::Member m_Member;
};

/// A daemon no longer takes part.
struct Leave {
  std::string m_Name;
  model::Incarnation m_Incarnation = 0;
  /// Said by peers and not by itself: if they were wrong, the same incarnation
  /// may join again. An incarnation that left by itself may not.
  bool m_IsDeath = false;
};

} // namespace knapweedloft::state

#endif // KNAPWEEDLOFT_STATE_MEMBERRECORDS_H
