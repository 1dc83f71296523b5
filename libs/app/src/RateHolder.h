#ifndef KNAPWEEDLOFT_APP_RATEHOLDER_H
#define KNAPWEEDLOFT_APP_RATEHOLDER_H

#include "RateTable.h"
#include "app/RateDecision.h"
#include "link/generated/link_generated.h"
#include "state/SnapshotStore.h"

#include "absl/time/time.h"

#include <cstddef>
#include <functional>
#include <string>

namespace knapweedloft::app {

/// The side of RateService that holds tokens and asks for more.
class RateHolder {
public:
  struct Hooks {
    /// Sends an ask that was begun at Now to the keeper, perhaps in vain.
    std::function<void(const std::string &Keeper, link::wire::GrantAskT Ask,
                       absl::Time Now)>
        m_SendAsk;
    /// Runs a task on the link thread, after a delay, with the time at which it
    /// runs: the thread that posts it may have read the clock long before.
    std::function<void(std::function<void(absl::Time Now)> Task,
                       absl::Duration Delay)>
        m_Post;
  };

  struct Options {
    policy::GrantedTokens::Options m_Allotment;
    std::size_t m_MaxWaiting;
    absl::Duration m_Patience;
  };

  RateHolder(const Options &Settings, const state::SnapshotStore &Store,
             Hooks Surroundings);

  /// From any thread.
  void acquire(const std::string &Customer, absl::Time Now,
               absl::Duration MaxWait,
               std::function<void(const RateDecision &)> Done);

  void onGrant(const link::wire::GrantT &Grant, absl::Time Now);
  void tick(absl::Time Now);

private:
  void startAsk(RateHandle Handle, absl::Time Now);
  void postAsk(RateHandle Handle);
  bool wait(RateEntry &Entry, std::size_t Most, WaitingCall Call);
  void sendAsk(RateEntry &Entry, const policy::TokenRequest &Ask,
               const std::string &Keeper, std::uint64_t Epoch, absl::Time Now);
  void serveWaiting(RateEntry &Entry, absl::Time Now);
  void onShort(RateHandle Handle, const policy::TokenGrant &Given,
               bool IsKeeperAway, absl::Time Now);
  void refuseWaiting(RateEntry &Entry, std::size_t Kept,
                     const RateDecision &Refusal);
  void refuseOverdue(RateEntry &Entry, absl::Time Now);
  void giveBack(RateEntry &Entry, absl::Time Now);
  static std::size_t waitingCount(RateEntry &Entry);

  RateTable m_Table;
  std::size_t m_MaxWaiting;
  absl::Duration m_Patience;
  const state::SnapshotStore &m_Store;
  Hooks m_Hooks;
};

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_RATEHOLDER_H
