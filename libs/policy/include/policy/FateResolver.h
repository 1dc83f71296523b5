#ifndef KNAPWEEDLOFT_POLICY_FATERESOLVER_H
#define KNAPWEEDLOFT_POLICY_FATERESOLVER_H

#include "model/NameTable.h"
#include "policy/ForwardEntry.h"

#include "absl/time/time.h"

#include <cstdint>
#include <optional>

namespace knapweedloft::policy {

/// What the entry side has to do about a forward whose link went down.
enum class FateStep : std::uint8_t {
  Wait,     ///< Until wakeAt(), or until something is heard.
  OpenLink, ///< Ask for another link, then wait.
  Ask,      ///< Send a query on the link that is up.
  NotRun,   ///< Proved: retry, or refuse with ran "no".
  Unknown,  ///< The truth cannot be had.
};

inline constexpr model::NameTable<FateStep, 5> FateStepNames{
    {"wait", "open-link", "ask", "not-run", "unknown"}};

/// Finds out what became of one forward after its link went down: opens
/// another, asks, collects the answer, waits on a run, or learns that it did
/// not run. Not thread-safe.
///
/// \code
///   FateResolver Fate(Options, Deadline, Now);
///   switch (Fate.next(IsLinkUp, Now)) { ... }
///   ...
///   Fate.onFate(ForwardFate::NotRun);
/// \endcode
class FateResolver {
public:
  struct Options {
    /// How long another link is waited for.
    absl::Duration m_LinkWait = absl::Seconds(3);
    /// A query without an answer is repeated after this.
    absl::Duration m_AskAgain = absl::Milliseconds(500);
    /// A link that did not come up is asked for again after this.
    absl::Duration m_OpenAgain = absl::Milliseconds(100);
  };

  /// \p Deadline is the end of all waiting.
  FateResolver(const Options &Settings, absl::Time Deadline, absl::Time Now);

  [[nodiscard]] FateStep next(bool IsLinkUp, absl::Time Now);

  /// The target side answered a query.
  void onFate(ForwardFate Fate) { m_Fate = Fate; }

  /// The link on which it was asked went down too.
  void onLinkDown(absl::Time Now);

  /// The daemon that could have run it is gone: another incarnation has its
  /// name, or nothing listens where it was.
  void onReplaced() { m_IsReplaced = true; }

  /// \returns when next() may say something new by itself.
  [[nodiscard]] absl::Time wakeAt() const { return m_WakeAt; }

private:
  [[nodiscard]] FateStep waitUntil(absl::Time When);

  Options m_Settings;
  absl::Time m_Deadline;
  absl::Time m_LinkBy;
  absl::Time m_Opened = absl::InfinitePast();
  absl::Time m_Asked = absl::InfinitePast();
  absl::Time m_WakeAt;
  std::optional<ForwardFate> m_Fate;
  bool m_IsReplaced = false;
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_FATERESOLVER_H
