#ifndef KNAPWEEDLOFT_MESH_QUARANTINEDREQUEST_H
#define KNAPWEEDLOFT_MESH_QUARANTINEDREQUEST_H

#include "model/Quarantine.h"
#include "policy/RequestStanding.h"

#include "absl/time/time.h"

#include <string>

namespace knapweedloft::mesh {

/// A request that crashed targets, as shown to operators.
struct QuarantinedRequest {
  model::Fingerprint m_Fingerprint = 0;
  policy::RequestStanding m_Standing = policy::RequestStanding::Clear;
  unsigned m_Crashes = 0;     ///< That count against the request.
  unsigned m_Explained = 0;   ///< Further ones, that others explain.
  absl::Duration m_Remaining; ///< Until the quarantine ends.
  std::string m_DecidedBy;    ///< Daemon, instance and age of each crash.
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_QUARANTINEDREQUEST_H
