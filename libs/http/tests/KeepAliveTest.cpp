#include "KeepAlive.h"

#include "gtest/gtest.h"

#include <string>

namespace knapweedloft::http {
namespace {

constexpr absl::Duration Longest = absl::Seconds(8);

absl::Duration idleTime(const std::string &KeepAlive) {
  return idleTimeAfter({.m_Headers = {{"Keep-Alive", KeepAlive}}}, Longest);
}

// Targets that closed idle connections after 0.35 s got a new one for each
// request: a time below the margin left none to keep them.
TEST(KeepAliveTest, IdleTimeAfter_StatedTimeBelowTheMargin_KeepsForTheNext) {
  EXPECT_EQ(idleTime("timeout=0"), absl::Milliseconds(100));
  EXPECT_EQ(idleTime("timeout=1"), absl::Milliseconds(100));
}

TEST(KeepAliveTest, IdleTimeAfter_StatedTime_EndsBeforeTheServerCloses) {
  EXPECT_EQ(idleTime("timeout=4, max=9"), absl::Seconds(3));
  EXPECT_EQ(idleTime("timeout=60"), Longest);
}

TEST(KeepAliveTest, IdleTimeAfter_NoTimeStated_IsTheLongest) {
  EXPECT_EQ(idleTimeAfter({}, Longest), Longest);
  EXPECT_EQ(idleTime("max=9"), Longest);
}

} // namespace
} // namespace knapweedloft::http
