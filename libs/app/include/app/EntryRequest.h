#ifndef KNAPWEEDLOFT_APP_ENTRYREQUEST_H
#define KNAPWEEDLOFT_APP_ENTRYREQUEST_H

#include "app/ContextTable.h"
#include "http/HttpMessage.h"
#include "model/Key.h"
#include "model/Quarantine.h"
#include "model/Route.h"

#include "absl/time/time.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace knapweedloft::app {

/// A caller's request that passed the checks of the caller threads.
struct EntryRequest {
  std::shared_ptr<const http::HttpRequest> m_Http;
  /// Answers the caller; only the first call counts.
  std::function<void(http::HttpResponse)> m_Answer;
  /// Has a hook called, on any thread, if the caller hangs up.
  std::function<void(std::function<void()>)> m_WatchHangUp;
  model::Route m_Route;
  std::string m_Customer; ///< Empty on an open route.
  model::KeyDigest m_Digest{};
  bool m_HasKey = false;
  std::optional<ContextId> m_Context; ///< Set on a call made by a target.
  std::string m_IdempotencyKey;
  model::Fingerprint m_Fingerprint = 0;
  absl::Time m_Received;
  absl::Time m_Deadline;
  std::uint64_t m_GrantEpoch = 0;
  absl::Time m_GrantExpires = absl::InfiniteFuture();
};

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_ENTRYREQUEST_H
