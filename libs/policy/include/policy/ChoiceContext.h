#ifndef KNAPWEEDLOFT_POLICY_CHOICECONTEXT_H
#define KNAPWEEDLOFT_POLICY_CHOICECONTEXT_H

#include "model/Priority.h"
#include "policy/TargetHandle.h"

#include <span>

namespace knapweedloft::policy {

/// The request for which a target is chosen.
struct ChoiceContext {
  std::span<const TargetHandle> m_Excluded; ///< Tried before.
  model::Priority m_Priority = model::Priority::Normal;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_CHOICECONTEXT_H
