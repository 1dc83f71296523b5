#ifndef KNAPWEEDLOFT_APP_CALLERHANDLER_H
#define KNAPWEEDLOFT_APP_CALLERHANDLER_H

#include "app/Announcement.h"
#include "app/EntryRequest.h"
#include "app/RateDecision.h"
#include "http/HttpExchange.h"
#include "model/RefusalReason.h"
#include "state/SnapshotStore.h"

#include "absl/time/time.h"

#include <functional>
#include <string>

namespace knapweedloft::app {

/// Checks each caller's request against the snapshot, takes a rate token and
/// hands it to the entry side. Runs on many caller threads at once and takes
/// no lock.
class CallerHandler {
public:
  struct Hooks {
    /// See RateService::acquire.
    std::function<void(const std::string &Customer, absl::Time Now,
                       absl::Duration MaxWait,
                       std::function<void(const RateDecision &)>)>
        m_Acquire;
    std::function<void(EntryRequest)> m_Submit;
    std::function<void(Announcement)> m_Announce;
    /// \returns whether the state may be relied on to judge keys.
    std::function<bool(absl::Time Now)> m_IsStateFresh;
    /// Called for each refusal made here.
    std::function<void(model::RefusalReason, const std::string &Route,
                       const std::string &Customer)>
        m_OnRefusal;
  };

  struct Options {
    absl::Duration m_MaxTimeout = absl::Seconds(60);
    /// How long a request may wait for a token that is on its way.
    absl::Duration m_MaxTokenWait = absl::Milliseconds(250);
    Hooks m_Hooks;
  };

  CallerHandler(Options Settings, const state::SnapshotStore &Store);

  void handle(http::HttpExchange Exchange, absl::Time Now) const;

private:
  [[nodiscard]] model::RefusalReason
  inspect(EntryRequest &Request, bool IsFromLoopback, absl::Time Now) const;
  [[nodiscard]] model::RefusalReason identify(EntryRequest &Request,
                                              bool IsFromLoopback,
                                              const state::Snapshot &State,
                                              absl::Time Now) const;
  void refuse(EntryRequest &Request, model::RefusalReason Reason,
              absl::Duration RetryAfter) const;
  void acquire(EntryRequest Request, absl::Time Now) const;
  void announce(http::HttpExchange Exchange) const;

  Options m_Options;
  const state::SnapshotStore &m_Store;
};

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_CALLERHANDLER_H
