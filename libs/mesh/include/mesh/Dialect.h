#ifndef KNAPWEEDLOFT_MESH_DIALECT_H
#define KNAPWEEDLOFT_MESH_DIALECT_H

#include <string>

namespace knapweedloft::mesh {

/// The names of the header fields by which callers, this system and targets
/// speak with each other. What differs between sites is set here, so that the
/// path of a request knows none of their names.
struct Dialect {
  std::string m_CallId;        ///< The caller's name for one attempt.
  std::string m_TimeLeft;      ///< Milliseconds that the sender will wait.
  std::string m_Key;           ///< Field that carries a caller's key.
  std::string m_KeyScheme;     ///< What stands before the key, with its blank.
  std::string m_Customer;      ///< Told to targets: whose request it is.
  std::string m_CallerService; ///< Told to targets: where the request began.
  std::string m_Instance;      ///< Told to targets: which one is meant.
  std::string m_InstanceTold;  ///< By a target: which one it is.
  std::string m_NotRun;        ///< By a target: it has not run the request.
  std::string m_Proof;         ///< By a target: the answer is its own.
  std::string m_TargetLoad;    ///< By a target: running, waiting, slots.
  std::string m_ColdLeft;      ///< By a target: milliseconds that it is cold.

  friend bool operator==(const Dialect &, const Dialect &) = default;
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_DIALECT_H
