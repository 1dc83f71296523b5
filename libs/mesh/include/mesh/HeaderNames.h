#ifndef KNAPWEEDLOFT_MESH_HEADERNAMES_H
#define KNAPWEEDLOFT_MESH_HEADERNAMES_H

#include <string>

namespace knapweedloft::mesh {

/// Names of the HTTP header fields that callers, this system and targets
/// exchange. They differ between sites and are configured here, so that the
/// code that handles requests does not depend on them.
struct HeaderNames {
  std::string m_CallId;           ///< Caller's identifier of one attempt.
  std::string m_RemainingTime;    ///< Milliseconds that the sender still waits.
  std::string m_Key;              ///< Caller's key, after the scheme.
  std::string m_KeyScheme;        ///< Prefix of the key, with its space.
  std::string m_Customer;         ///< To targets: customer of the request.
  std::string m_CallerService;    ///< To targets: service of the entry side.
  std::string m_Instance;         ///< To targets: instance addressed.
  std::string m_ReportedInstance; ///< From a target: its instance.
  std::string m_NotRun;           ///< From a target: request not run.
  std::string m_OriginProof;   ///< From a target: shows the answer is its own.
  std::string m_TargetLoad;    ///< See ReportedLoad.
  std::string m_ColdRemaining; ///< From a target: milliseconds it stays cold.
  std::string m_RateLimit;     ///< From a target: requests a second it takes.
  std::string m_Leaving;       ///< From a target: "1" if it leaves.

  friend bool operator==(const HeaderNames &, const HeaderNames &) = default;
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_HEADERNAMES_H
