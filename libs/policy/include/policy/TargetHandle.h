#ifndef KNAPWEEDLOFT_POLICY_TARGETHANDLE_H
#define KNAPWEEDLOFT_POLICY_TARGETHANDLE_H

#include "model/Handle.h"

namespace knapweedloft::policy {

struct TargetTag;

/// Identifies a target of one TargetChooser; valid until the target has been
/// omitted from setTargets and all its requests have ended.
using TargetHandle = model::Handle<TargetTag>;

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_TARGETHANDLE_H
