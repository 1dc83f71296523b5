#include "app/Daemon.h"

#include "http/HttpClient.h"
#include "logservice/LogServer.h"
#include "logservice/LogStore.h"
#include "state/ImageParts.h"
#include "state/RecordCodec.h"
#include "state/StateReplica.h"

#include "absl/synchronization/notification.h"
#include "absl/time/clock.h"
#include "gtest/gtest.h"

#include <memory>
#include <string>
#include <utility>

namespace knapweedloft::app {
namespace {

/// Whole daemons in one process, on a log with faults.
class DaemonStartTest : public testing::Test {
protected:
  DaemonStartTest() : m_LogServer(m_Store, {}), m_Client({}) {}

  std::unique_ptr<Daemon> start(const std::string &Name,
                                std::vector<model::Endpoint> Contacts = {}) {
    Settings From;
    From.m_Daemon = {Name, "r", "dc"};
    From.m_Log = {.m_Address = "127.0.0.1", .m_Port = m_LogServer.port()};
    From.m_Link.m_Contacts = std::move(Contacts);
    return std::make_unique<Daemon>(From);
  }

  http::HttpResponse call(const Daemon &To, const std::string &Method,
                          const std::string &Path) {
    absl::Notification IsDone;
    http::HttpResult Result;
    m_Client.send("http://127.0.0.1:" + std::to_string(To.apiPort()),
                  {.m_Method = Method, .m_Path = Path, .m_Body = "{}"},
                  absl::Seconds(60), [&](http::HttpResult Outcome) {
                    Result = std::move(Outcome);
                    IsDone.Notify();
                  });
    IsDone.WaitForNotification();
    return Result.m_Response;
  }

  /// Polls until \p Path answers 200; the test's time limit ends a vain wait.
  void awaitOk(const Daemon &To, const std::string &Path) {
    while (call(To, "GET", Path).m_Status != 200)
      absl::SleepFor(absl::Milliseconds(10));
  }

  logservice::LogStore m_Store;
  logservice::LogServer m_LogServer;
  http::HttpClient m_Client;
};

TEST_F(DaemonStartTest, Start_LogAwayFromTheStart_TakesStateFromAContact) {
  const auto Old = start("old");
  awaitOk(*Old, "/readyz");
  ASSERT_EQ(call(*Old, "PUT", "/v1/customers/acme").m_Status, 201);
  m_Store.setFaults({.m_IsDown = true});
  const auto New = start("new", {Old->linkEndpoint()});
  awaitOk(*New, "/v1/customers/acme");
  awaitOk(*New, "/readyz");
}

TEST_F(DaemonStartTest, Start_FirstRecordsExpired_StartsFromImageInTheLog) {
  state::StateReplica Whole;
  {
    const auto Old = start("old");
    awaitOk(*Old, "/readyz");
    ASSERT_EQ(call(*Old, "PUT", "/v1/customers/acme").m_Status, 201);
  }
  const platform::LogRead Read =
      m_Store.read("config", 0, SIZE_MAX, absl::ZeroDuration());
  for (const platform::LogRecord &Each : Read.m_Records)
    Whole.applyRecord(Each.m_Offset, Each.m_Payload);
  for (const state::ImagePart &Each :
       state::splitImage(Whole.offset(), Whole.image(), 128))
    m_Store.append("config", state::encodeRecord({.m_Entry = Each}));
  m_Store.expireBefore("config", Whole.offset());
  const auto New = start("new");
  awaitOk(*New, "/v1/customers/acme");
}

} // namespace
} // namespace knapweedloft::app
