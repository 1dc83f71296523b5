#ifndef KNAPWEEDLOFT_APP_CONTEXTTABLE_H
#define KNAPWEEDLOFT_APP_CONTEXTTABLE_H

#include "model/Key.h"
#include "model/Priority.h"
#include "policy/AttemptBudget.h"
#include "policy/ResendDetector.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace knapweedloft::app {

/// 128 random bits that a target is given with a request and shows on the
/// calls it makes for that request.
using ContextId = std::array<std::uint64_t, 2>;

/// \returns \p Id as 32 hexadecimal digits.
[[nodiscard]] std::string toText(const ContextId &Id);

/// \returns the id that toText() gave \p Text for, or nothing.
[[nodiscard]] std::optional<ContextId> contextFromText(std::string_view Text);

/// What the calls of a running request inherit from it.
struct CallContext {
  std::string m_Customer;
  model::KeyDigest m_Digest{};
  bool m_HasKey = false;
  model::Priority m_Priority = model::Priority::Normal;
  absl::Time m_Deadline;
  policy::AttemptBudget m_Attempts{0}; ///< Shared by all its calls.
  policy::ResendDetector m_Calls;
  bool m_HasFailedBelow = false; ///< A call that it made was refused.
};

/// The requests that run at the target beside this daemon. A context is valid
/// only while its request runs, so that it lends its customer's rights no
/// longer than needed. Not thread-safe: it belongs to the link thread.
class ContextTable {
public:
  /// \p Random gives 64 bits that cannot be guessed.
  explicit ContextTable(std::function<std::uint64_t()> Random);

  ContextId open(CallContext Context);
  /// \returns the context, or null if it is not running. The pointer is valid
  /// until the next open() or close().
  [[nodiscard]] CallContext *find(const ContextId &Id);
  void close(const ContextId &Id);

private:
  std::function<std::uint64_t()> m_Random;
  absl::flat_hash_map<ContextId, CallContext> m_Contexts;
};

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_CONTEXTTABLE_H
