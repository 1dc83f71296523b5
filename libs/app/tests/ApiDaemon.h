#ifndef KNAPWEEDLOFT_APP_APIDAEMON_H
#define KNAPWEEDLOFT_APP_APIDAEMON_H

#include "app/ResourceApi.h"
#include "platform/LogFollower.h"
#include "platform/ReplicaFeed.h"
#include "state/StateReplica.h"

#include "absl/synchronization/notification.h"

#include <memory>
#include <string>
#include <utility>

namespace knapweedloft::app {

/// The answer to a request under way.
class PendingAnswer {
public:
  void set(http::HttpResponse Answer) {
    m_Answer = std::move(Answer);
    m_IsThere.Notify();
  }
  /// Waits for the answer.
  const http::HttpResponse &get() {
    m_IsThere.WaitForNotification();
    return m_Answer;
  }
  [[nodiscard]] bool isThere() const { return m_IsThere.HasBeenNotified(); }

private:
  absl::Notification m_IsThere;
  http::HttpResponse m_Answer;
};

using PendingAnswerPtr = std::shared_ptr<PendingAnswer>;

/// As much of a daemon as the resource API needs, for tests.
class ApiDaemon {
public:
  explicit ApiDaemon(platform::LogService Log)
      : ApiDaemon(std::move(Log), ResourceApi::Options{}) {}

  ApiDaemon(platform::LogService Log, ResourceApi::Options Settings)
      : m_Feed(m_Replica), m_Follower(followerOptions(Log)) {
    Settings.m_Replica = &m_Replica;
    Settings.m_Log = std::move(Log);
    Settings.m_Now = [] { return absl::Now(); };
    Settings.m_WallNow = [] { return absl::UnixEpoch(); };
    Settings.m_Random = [] { return 0.0; };
    if (!Settings.m_Applied)
      Settings.m_Applied = [] { return AppliedSummary(); };
    m_Api = std::make_unique<ResourceApi>(std::move(Settings));
  }

  void follow() { m_Follower.start(); }

  PendingAnswerPtr send(const http::HttpRequest &Request,
                        bool IsFromLoopback = true) {
    auto Answer = std::make_shared<PendingAnswer>();
    m_Api->handle(Request, IsFromLoopback,
                  [Answer](http::HttpResponse Response) {
                    Answer->set(std::move(Response));
                  });
    return Answer;
  }

  http::HttpResponse call(const std::string &Method, const std::string &Path,
                          const std::string &Body = "",
                          http::HeaderList Headers = {}) {
    return send({.m_Method = Method,
                 .m_Path = Path,
                 .m_Headers = std::move(Headers),
                 .m_Body = Body})
        ->get();
  }

  state::StateReplica m_Replica;

private:
  platform::LogFollower::Options followerOptions(platform::LogService Log) {
    return {.m_Log = std::move(Log),
            .m_Stream = "config",
            .m_Next = [this] { return m_Feed.next(); },
            .m_OnRead = [this](const platform::LogRead &Read,
                               const auto &) { m_Feed.take(Read); },
            .m_Now = [] { return absl::Now(); },
            .m_Random = [] { return 0.0; },
            .m_Wait = absl::Milliseconds(20),
            .m_MinBackoff = absl::Milliseconds(1),
            .m_MaxBackoff = absl::Milliseconds(4)};
  }

  platform::ReplicaFeed m_Feed;
  platform::LogFollower m_Follower;
  std::unique_ptr<ResourceApi> m_Api;
};

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_APIDAEMON_H
