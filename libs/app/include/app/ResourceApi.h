#ifndef KNAPWEEDLOFT_APP_RESOURCEAPI_H
#define KNAPWEEDLOFT_APP_RESOURCEAPI_H

#include "app/AppliedSummary.h"
#include "http/HttpExchange.h"
#include "http/HttpMessage.h"
#include "platform/LogService.h"
#include "state/StateReplica.h"

#include "absl/time/time.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace knapweedloft::app {

/// The operators' resource API, `/v1/...`, as docs/operators/configuration.md
/// describes it.
///
/// A change is appended to the log and answered once this daemon has read it
/// back, so the fold alone says who won a race, and a change whose answer from
/// the log was lost is neither lost nor made twice. Nothing blocks the thread
/// that calls handle(): appends run on threads of their own, and answers go out
/// on one that waits for the replica to advance and for deadlines.
///
/// \code
///   ResourceApi Api({.m_Replica = &Replica, .m_Log = Log, ...});
///   Options.m_OnRequest = [&Api](http::HttpExchange Exchange) {
///     Api.handle(std::move(Exchange));
///   };
/// \endcode
class ResourceApi {
public:
  using Reply = std::function<void(http::HttpResponse)>;

  struct Options {
    state::StateReplica *m_Replica = nullptr; ///< Must outlive the API.
    platform::LogService m_Log;
    std::string m_Stream = "config";
    /// What is known of how far the fleet has applied the log. Any thread.
    std::function<AppliedSummary()> m_Applied;
    std::function<absl::Time()> m_Now;     ///< Monotonic.
    std::function<absl::Time()> m_WallNow; ///< For records' time of writing.
    std::function<double()> m_Random;      ///< Uniform in [0, 1); thread-safe.
    /// Operators' bearer token. Without one only callers on the loopback
    /// range are served.
    std::string m_Token;
    /// From a change's arrival to its answer. Appends are tried for the first
    /// part of it, the rest is for reading the change back.
    absl::Duration m_AnswerDeadline = absl::Seconds(10);
    absl::Duration m_AppendDeadline = absl::Seconds(6);
    absl::Duration m_MaxWatchWait = absl::Seconds(60);
    unsigned m_AppendThreads = 4;
    std::size_t m_MaxQueuedAppends = 256;
    std::size_t m_MaxWatchers = 256;
  };

  explicit ResourceApi(Options Settings);
  /// Answers with 503 what still waits.
  ~ResourceApi();

  void handle(http::HttpExchange Exchange);

  /// The same without a server: \p Answer is called once, on any thread.
  void handle(const http::HttpRequest &Request, bool IsFromLoopback,
              const Reply &Answer);

private:
  class Impl;
  std::shared_ptr<Impl> m_Impl;
};

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_RESOURCEAPI_H
