#ifndef KNAPWEEDLOFT_POLICY_CHOICECONTEXT_H
#define KNAPWEEDLOFT_POLICY_CHOICECONTEXT_H

#include "model/Priority.h"
#include "policy/TargetHandle.h"

#include <cstddef>
#include <span>

namespace knapweedloft::policy {

/// Properties of the request for which a target is chosen.
struct ChoiceContext {
  std::span<const TargetHandle> m_Excluded; ///< Targets already tried.
  model::Priority m_Priority = model::Priority::Normal;
  std::size_t m_Bytes = 0; ///< Of the request.
  /// The work that the request is part of has changed the data center before.
  bool m_HasCrossed = false;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_CHOICECONTEXT_H
