#ifndef KNAPWEEDLOFT_POLICY_FORWARDSTATUSRESOLVER_H
#define KNAPWEEDLOFT_POLICY_FORWARDSTATUSRESOLVER_H

#include "model/NameTable.h"
#include "policy/ForwardBeginResult.h"

#include "absl/time/time.h"

#include <cstdint>
#include <optional>

namespace knapweedloft::policy {

/// The entry side's next step for a forward whose link went down.
enum class ResolverStep : std::uint8_t {
  Wait,     ///< Until wakeAt(), or until a message or a link event arrives.
  OpenLink, ///< Request a new link, then wait.
  Ask,      ///< Send a status query on the link that is up.
  NotRun,   ///< Proved not to have run: retry, or refuse with ran "no".
  Unknown,  ///< The status cannot be determined.
};

inline constexpr model::NameTable<ResolverStep, 5> ResolverStepNames{
    {"wait", "open-link", "ask", "not-run", "unknown"}};

/// Determines the status of one forward after its link went down: opens a new
/// link, queries the target side, and then fetches the answer, waits for the
/// run to end, or learns that the forward did not run. Not thread-safe.
///
/// \code
///   ForwardStatusResolver Resolver(Options, Deadline, Now);
///   switch (Resolver.next(IsLinkUp, Now)) { ... }
///   ...
///   Resolver.onStatus(ForwardStatus::NotRun);
/// \endcode
class ForwardStatusResolver {
public:
  struct Options {
    /// Maximum wait for a new link.
    absl::Duration m_LinkWait = absl::Seconds(3);
    /// An unanswered query is retried after this.
    absl::Duration m_QueryInterval = absl::Milliseconds(500);
    /// A link that is still down is requested again after this.
    absl::Duration m_LinkRequestInterval = absl::Milliseconds(100);
  };

  /// After \p Deadline the status is Unknown.
  ForwardStatusResolver(const Options &Settings, absl::Time Deadline,
                        absl::Time Now);

  [[nodiscard]] ResolverStep next(bool IsLinkUp, absl::Time Now);

  /// The target side answered a status query.
  void onStatus(ForwardStatus Status) { m_Status = Status; }

  /// The link on which the status was queried went down too.
  void onLinkDown(absl::Time Now);

  /// The incarnation that could have run the forward is gone: another one has
  /// its name, or nothing listens at its address.
  void onReplaced() { m_IsReplaced = true; }

  /// \returns when next() may return another step without a new event.
  [[nodiscard]] absl::Time wakeAt() const { return m_WakeAt; }

private:
  [[nodiscard]] ResolverStep waitUntil(absl::Time Until);

  Options m_Settings;
  absl::Time m_Deadline;
  absl::Time m_LinkDeadline;
  absl::Time m_LinkRequestedAt = absl::InfinitePast();
  absl::Time m_QueriedAt = absl::InfinitePast();
  absl::Time m_WakeAt;
  std::optional<ForwardStatus> m_Status;
  bool m_IsReplaced = false;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_FORWARDSTATUSRESOLVER_H
