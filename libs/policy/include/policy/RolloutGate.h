#ifndef KNAPWEEDLOFT_POLICY_ROLLOUTGATE_H
#define KNAPWEEDLOFT_POLICY_ROLLOUTGATE_H

#include "policy/RolloutPhase.h"

#include "absl/time/time.h"

#include <cstdint>

namespace knapweedloft::policy {

/// Limits at a target side what a roll-out lets its target have.
///
/// A target of the new version gets requests only as far as the newest command
/// allows, and none if no command came for some time: a daemon that is cut off
/// or was paused does not act on an old one. A target of the former version is
/// closed only while a fresh command says that the new version has taken over.
/// Commands of a lower epoch are void. Not thread-safe.
///
/// \code
///   Gate.setOrder(true);          // the target has the new version
///   Gate.onCommand(Command, Now);
///   if (!Gate.tryAccept(Now)) ... // refuse as not run
/// \endcode
class RolloutGate {
public:
  struct Options {
    /// How long a command that is not final holds.
    absl::Duration m_CommandLifetime = absl::Milliseconds(1500);
  };

  struct Command {
    std::uint64_t m_Epoch = 0;
    std::uint64_t m_Sequence = 0; ///< Within the epoch.
    RolloutPhase m_Phase = RolloutPhase::None;
    double m_Share = 0;            ///< Of the requests, for the new version.
    std::uint64_t m_Allowance = 0; ///< Requests in all for this target.
    absl::Duration m_Age;          ///< Since it was sent.
  };

  explicit RolloutGate(const Options &Settings) : m_Settings(Settings) {}

  /// A roll-out is ordered; \p IsNewVersion tells whether the target has the
  /// version that it rolls out. Former commands are void.
  void setOrder(bool IsNewVersion);
  void clearOrder();
  /// \returns whether the command was newer than those before.
  bool onCommand(const Command &Next, absl::Time Now);

  /// Counts a request if the target may get it. \returns whether it may.
  [[nodiscard]] bool tryAccept(absl::Time Now);
  /// Gives back a request that did not reach the target.
  void putBack();
  /// \returns whether the target may get requests at all.
  [[nodiscard]] bool isOpen(absl::Time Now) const;
  /// \returns the share of the service's requests that entry sides are to send
  /// to the targets of this version: 0 to 1.
  [[nodiscard]] double exposure(absl::Time Now) const;
  [[nodiscard]] RolloutPhase phase() const { return m_Command.m_Phase; }
  [[nodiscard]] bool hasOrder() const { return m_HasOrder; }
  [[nodiscard]] bool isNewVersion() const { return m_IsNewVersion; }
  [[nodiscard]] std::uint64_t accepted() const { return m_Accepted; }

private:
  [[nodiscard]] bool isFresh(absl::Time Now) const;

  Options m_Settings;
  bool m_HasOrder = false;
  bool m_IsNewVersion = false;
  Command m_Command;
  absl::Time m_CommandSent = absl::InfinitePast();
  std::uint64_t m_Accepted = 0; ///< Since the order, in this life.
};

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_ROLLOUTGATE_H
