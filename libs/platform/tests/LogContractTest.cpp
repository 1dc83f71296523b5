#include "platform/HttpLog.h"
#include "platform/OffsetExpired.h"
#include "platform/PlatformError.h"

#include "logservice/LogServer.h"
#include "logservice/LogStore.h"

#include "gtest/gtest.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace knapweedloft::platform {
namespace {

using logservice::LogFaults;

constexpr char Stream[] = "config";
constexpr absl::Duration NoWait = absl::ZeroDuration();

/// What every log service keeps to, whatever carries it.
class LogContractTest : public testing::TestWithParam<bool> {
protected:
  void SetUp() override {
    if (!GetParam()) {
      m_Log = m_Store.service();
      return;
    }
    m_Server = std::make_unique<logservice::LogServer>(
        m_Store, logservice::LogServer::Options{});
    m_Log = makeHttpLog({.m_Address = "127.0.0.1",
                         .m_Port = m_Server->port(),
                         .m_Timeout = absl::Seconds(20)});
  }

  std::optional<PlatformErrorKind>
  failureOf(const std::function<void()> &Call) {
    try {
      Call();
    } catch (const PlatformError &Error) {
      return Error.kind();
    }
    return std::nullopt;
  }

  std::optional<PlatformErrorKind> appendFailure() {
    return failureOf([this] { m_Log.m_Append(Stream, "x"); });
  }

  std::optional<PlatformErrorKind> readFailure() {
    return failureOf([this] { m_Log.m_Read(Stream, 0, 10, NoWait); });
  }

  logservice::LogStore m_Store{{.m_KeptRecords = 8}};
  std::unique_ptr<logservice::LogServer> m_Server;
  LogService m_Log;
};

INSTANTIATE_TEST_SUITE_P(Carriers, LogContractTest, testing::Bool(),
                         [](const auto &Info) {
                           return Info.param ? "Http" : "InProcess";
                         });

TEST_P(LogContractTest, Append_EmptyStream_ReturnsConsecutiveOffsets) {
  EXPECT_EQ(m_Log.m_Append(Stream, "a"), 0U);
  EXPECT_EQ(m_Log.m_Append(Stream, "b"), 1U);
}

TEST_P(LogContractTest, Append_OtherStream_HasOffsetsOfItsOwn) {
  m_Log.m_Append(Stream, "a");
  EXPECT_EQ(m_Log.m_Append("other", "b"), 0U);
}

TEST_P(LogContractTest, Read_AnyBytes_ComeBackAsTheyWere) {
  std::string Payload;
  for (int Value = 0; Value < 256; ++Value)
    Payload.push_back(static_cast<char>(Value));
  m_Log.m_Append(Stream, Payload);
  m_Log.m_Append(Stream, "");
  const LogRead Read = m_Log.m_Read(Stream, 0, 10, NoWait);
  ASSERT_EQ(Read.m_Records.size(), 2U);
  EXPECT_EQ(Read.m_Records[0].m_Payload, Payload);
  EXPECT_EQ(Read.m_Records[1].m_Payload, "");
  EXPECT_EQ(Read.m_End, 2U);
}

TEST_P(LogContractTest, Read_MoreThanMax_ReturnsTheFirst) {
  for (int Count = 0; Count < 5; ++Count)
    m_Log.m_Append(Stream, "x");
  const LogRead Read = m_Log.m_Read(Stream, 1, 2, NoWait);
  ASSERT_EQ(Read.m_Records.size(), 2U);
  EXPECT_EQ(Read.m_Records[0].m_Offset, 1U);
  EXPECT_EQ(Read.m_End, 5U);
}

TEST_P(LogContractTest, Read_AtTheEnd_IsEmpty) {
  m_Log.m_Append(Stream, "x");
  EXPECT_TRUE(m_Log.m_Read(Stream, 1, 10, NoWait).m_Records.empty());
}

TEST_P(LogContractTest, Read_ExpiredOffset_TellsTheFirstKept) {
  for (int Count = 0; Count < 11; ++Count)
    m_Log.m_Append(Stream, "x");
  try {
    m_Log.m_Read(Stream, 2, 10, NoWait);
    FAIL() << "an expired offset was read";
  } catch (const OffsetExpired &Expired) {
    EXPECT_EQ(Expired.first(), 3U);
    EXPECT_EQ(Expired.end(), 11U);
  }
}

TEST_P(LogContractTest, Append_AnswerLost_TookEffectOnce) {
  m_Store.setFaults({.m_LoseAnswers = 1});
  EXPECT_EQ(appendFailure(), PlatformErrorKind::OutcomeUnknown);
  EXPECT_EQ(m_Store.end(Stream), 1U);
}

TEST_P(LogContractTest, Append_StoredTwice_ReturnsTheFirstOffset) {
  m_Store.setFaults({.m_DuplicateAppends = 1});
  EXPECT_EQ(m_Log.m_Append(Stream, "x"), 0U);
  EXPECT_EQ(m_Store.end(Stream), 2U);
}

/// A fault and what calls meet while it holds.
struct FaultCase {
  const char *m_Name;
  LogFaults m_Faults;
  std::optional<PlatformErrorKind> m_Append;
  std::optional<PlatformErrorKind> m_Read;
  std::size_t m_Stored; ///< Records in the log after one append.
};

TEST_P(LogContractTest, Calls_EachFault_FailAsTheTableSays) {
  const FaultCase Cases[] = {
      {"none", {}, std::nullopt, std::nullopt, 1},
      {"slow",
       {.m_Slow = absl::Milliseconds(5)},
       std::nullopt,
       std::nullopt,
       1},
      {"down",
       {.m_IsDown = true},
       PlatformErrorKind::Unavailable,
       PlatformErrorKind::Unavailable,
       0},
      {"full", {.m_IsFull = true}, PlatformErrorKind::NoSpace, std::nullopt, 0},
      {"answer-lost",
       {.m_LoseAnswers = 1},
       PlatformErrorKind::OutcomeUnknown,
       std::nullopt,
       1},
      {"garbage-record",
       {.m_GarbageRecords = 1},
       std::nullopt,
       std::nullopt,
       2},
      {"stored-twice",
       {.m_DuplicateAppends = 1},
       std::nullopt,
       std::nullopt,
       2},
  };
  for (const FaultCase &Each : Cases) {
    SCOPED_TRACE(Each.m_Name);
    const std::size_t Before = m_Store.end(Stream);
    m_Store.setFaults(Each.m_Faults);
    EXPECT_EQ(appendFailure(), Each.m_Append);
    EXPECT_EQ(readFailure(), Each.m_Read);
    m_Store.setFaults({});
    EXPECT_EQ(m_Store.end(Stream) - Before, Each.m_Stored);
    EXPECT_EQ(readFailure(), std::nullopt);
  }
}

} // namespace
} // namespace knapweedloft::platform
