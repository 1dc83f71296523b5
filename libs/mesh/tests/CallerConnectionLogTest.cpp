#include "mesh/CallerConnectionLog.h"

#include "gmock/gmock.h"
#include "gtest/gtest.h"

#include <string>
#include <string_view>

namespace knapweedloft::mesh {
namespace {

using ::testing::HasSubstr;
using ::testing::IsEmpty;

class CallerConnectionLogTest : public ::testing::Test {
protected:
  CallerConnectionLogTest()
      : m_Events({.m_Sink =
                      [this](std::string_view Bytes) {
                        m_Written += Bytes;
                        return Bytes.size();
                      }}),
        m_Log(ComponentLog(m_Events, "entry")) {}

  /// \returns what is written at \p Now.
  std::string tick(absl::Time Now) {
    m_Written.clear();
    m_Log.tick(m_Counts, Now);
    m_Events.flush(absl::Now());
    return m_Written;
  }

  void close(http::CallerConnectionEnd Why, std::uint64_t Unanswered) {
    ++m_Counts.m_Closed[static_cast<std::size_t>(Why)];
    m_Counts.m_Unanswered[static_cast<std::size_t>(Why)] += Unanswered;
  }

  std::string m_Written;
  telemetry::EventLog m_Events;
  CallerConnectionLog m_Log;
  http::CallerConnectionCounts m_Counts;
  absl::Time m_Now = absl::FromUnixSeconds(1000);
};

TEST_F(CallerConnectionLogTest, Tick_OnlyCallersLeft_LogsNothing) {
  close(http::CallerConnectionEnd::CallerLeft, 5);
  close(http::CallerConnectionEnd::Idle, 0);
  EXPECT_THAT(tick(m_Now), IsEmpty());
}

TEST_F(CallerConnectionLogTest, Tick_RequestsCut_LogsOnceASecondByCause) {
  close(http::CallerConnectionEnd::RequestTimeout, 3);
  std::string Line = tick(m_Now);
  EXPECT_THAT(Line, HasSubstr("requests=3 "));
  EXPECT_THAT(Line, HasSubstr("request_timeout=3 "));
  close(http::CallerConnectionEnd::WriteTimeout, 2);
  EXPECT_THAT(tick(m_Now + absl::Milliseconds(500)), IsEmpty());
  Line = tick(m_Now + absl::Seconds(1));
  EXPECT_THAT(Line, HasSubstr("requests=2 "));
  EXPECT_THAT(Line, HasSubstr("request_timeout=0 "));
  EXPECT_THAT(Line, HasSubstr("write_timeout=2 "));
}

} // namespace
} // namespace knapweedloft::mesh
