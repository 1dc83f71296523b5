#include "platform/HttpLog.h"
#include "platform/PlatformError.h"

#include "logservice/LogServer.h"
#include "logservice/LogStore.h"

#include "gtest/gtest.h"

#include <memory>
#include <string>

namespace knapweedloft::platform {
namespace {

constexpr char Stream[] = "config";
constexpr absl::Duration NoWait = absl::ZeroDuration();

class HttpLogTest : public testing::Test {
protected:
  HttpLogTest()
      : m_Server(std::make_unique<logservice::LogServer>(
            m_Store, logservice::LogServer::Options{})),
        m_Port(m_Server->port()), m_Log(logWith(absl::Seconds(20))) {}

  LogService logWith(absl::Duration Timeout) const {
    return makeHttpLog(
        {.m_Address = "127.0.0.1", .m_Port = m_Port, .m_Timeout = Timeout});
  }

  template <typename CallT> PlatformErrorKind kindOfFailure(const CallT &Call) {
    try {
      Call();
    } catch (const PlatformError &Error) {
      return Error.kind();
    }
    ADD_FAILURE() << "the call did not fail";
    return PlatformErrorKind::Unavailable;
  }

  logservice::LogStore m_Store;
  std::unique_ptr<logservice::LogServer> m_Server;
  std::uint16_t m_Port;
  LogService m_Log;
};

TEST_F(HttpLogTest, Append_NobodyListens_IsUnavailable) {
  m_Server.reset();
  EXPECT_EQ(kindOfFailure([this] { m_Log.m_Append(Stream, "x"); }),
            PlatformErrorKind::Unavailable);
}

TEST_F(HttpLogTest, Append_NoAnswerInTime_IsOutcomeUnknown) {
  m_Store.setFaults({.m_IsMute = true});
  const LogService Hasty = logWith(absl::Milliseconds(500));
  EXPECT_EQ(kindOfFailure([&] { Hasty.m_Append(Stream, "x"); }),
            PlatformErrorKind::OutcomeUnknown);
}

TEST_F(HttpLogTest, Read_NoAnswerInTime_IsUnavailable) {
  m_Store.setFaults({.m_IsMute = true});
  const LogService Hasty = logWith(absl::Milliseconds(500));
  EXPECT_EQ(kindOfFailure([&] { Hasty.m_Read(Stream, 0, 1, NoWait); }),
            PlatformErrorKind::Unavailable);
}

TEST_F(HttpLogTest, Append_GarbageAnswer_IsOutcomeUnknown) {
  m_Store.setFaults({.m_GarbageAnswers = 1});
  EXPECT_EQ(kindOfFailure([this] { m_Log.m_Append(Stream, "x"); }),
            PlatformErrorKind::OutcomeUnknown);
}

TEST_F(HttpLogTest, Read_GarbageAnswer_IsMalformed) {
  m_Store.setFaults({.m_GarbageAnswers = 1});
  EXPECT_EQ(kindOfFailure([this] { m_Log.m_Read(Stream, 0, 1, NoWait); }),
            PlatformErrorKind::Malformed);
}

TEST_F(HttpLogTest, Read_RecordsShownTwice_ComeOnce) {
  m_Log.m_Append(Stream, "a");
  m_Log.m_Append(Stream, "b");
  m_Store.setFaults({.m_RepeatRecords = 1});
  const LogRead Read = m_Log.m_Read(Stream, 0, 10, NoWait);
  ASSERT_EQ(Read.m_Records.size(), 2U);
  EXPECT_EQ(Read.m_Records[1].m_Payload, "b");
}

TEST_F(HttpLogTest, Append_AnswerLostOnKeptConnection_IsNotSentAgain) {
  m_Log.m_Append(Stream, "x");
  m_Store.setFaults({.m_LoseAnswers = 1});
  EXPECT_EQ(kindOfFailure([this] { m_Log.m_Append(Stream, "y"); }),
            PlatformErrorKind::OutcomeUnknown);
  EXPECT_EQ(m_Store.end(Stream), 2U);
}

TEST_F(HttpLogTest, Read_LogEndsBeforeOffset_IsMalformed) {
  m_Log.m_Append(Stream, "x");
  EXPECT_EQ(kindOfFailure([this] { m_Log.m_Read(Stream, 5, 1, NoWait); }),
            PlatformErrorKind::Malformed);
}

TEST_F(HttpLogTest, MakeHttpLog_HostName_Throws) {
  EXPECT_THROW((void)makeHttpLog({.m_Address = "localhost", .m_Port = 1}),
               PlatformError);
}

} // namespace
} // namespace knapweedloft::platform
