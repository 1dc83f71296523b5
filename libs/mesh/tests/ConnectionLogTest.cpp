#include "mesh/ConnectionLog.h"

#include "gmock/gmock.h"
#include "gtest/gtest.h"

#include <string>
#include <string_view>

namespace knapweedloft::mesh {
namespace {

using ::testing::HasSubstr;
using ::testing::IsEmpty;
using ::testing::Not;

class ConnectionLogTest : public ::testing::Test {
protected:
  ConnectionLogTest()
      : m_Events({.m_Sink =
                      [this](std::string_view Bytes) {
                        m_Written += Bytes;
                        return Bytes.size();
                      }}),
        m_Log(ComponentLog(m_Events, "target")) {}

  /// \returns what is written at \p Now.
  std::string tick(absl::Time Now) {
    m_Written.clear();
    m_Log.tick(m_Counts, Now);
    m_Events.flush(absl::Now());
    return m_Written;
  }

  void open(http::ConnectionNeed Need, std::uint64_t Count) {
    m_Counts.m_Opened[static_cast<std::size_t>(Need)] += Count;
  }

  std::string m_Written;
  telemetry::EventLog m_Events;
  ConnectionLog m_Log;
  http::ConnectionCounts m_Counts;
  absl::Time m_Now = absl::FromUnixSeconds(1000);
};

TEST_F(ConnectionLogTest, Tick_FewOpened_LogsNothing) {
  open(http::ConnectionNeed::NoneIdle, 9);
  EXPECT_THAT(tick(m_Now), IsEmpty());
}

TEST_F(ConnectionLogTest, Tick_StormOfOpening_LogsOnceASecondByCause) {
  open(http::ConnectionNeed::NoneIdle, 20);
  m_Counts.m_Closed[static_cast<std::size_t>(http::ConnectionEnd::Cancelled)] =
      7;
  std::string Line = tick(m_Now);
  EXPECT_THAT(Line, HasSubstr("none_idle=20 "));
  EXPECT_THAT(Line, HasSubstr("closed_cancelled=7 "));
  open(http::ConnectionNeed::IdleTooLong, 30);
  EXPECT_THAT(tick(m_Now + absl::Milliseconds(500)), IsEmpty());
  Line = tick(m_Now + absl::Seconds(1));
  EXPECT_THAT(Line, HasSubstr("idle_too_long=30 "));
  EXPECT_THAT(Line, Not(HasSubstr("none_idle=20 ")));
}

} // namespace
} // namespace knapweedloft::mesh
