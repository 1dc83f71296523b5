#include "app/Log.h"

#include "gtest/gtest.h"

namespace knapweedloft::app {
namespace {

TEST(LogTest, FormatLogLine_Fields_AreKeyAndValue) {
  EXPECT_EQ(formatLogLine(absl::UnixEpoch() + absl::Milliseconds(1500),
                          LogLevel::Warning, "link", "Link is silent.",
                          {{"peer", "press-2"}, {"after", absl::Seconds(2)}}),
            "1970-01-01T00:00:01.500Z warning link: Link is silent. "
            "peer=press-2 after=2s\n");
}

TEST(LogTest, FormatLogLine_LineBreakInValue_StaysOneLine) {
  EXPECT_EQ(formatLogLine(absl::UnixEpoch(), LogLevel::Error, "a", "B.",
                          {{"path", "/x\ny=\"z\""}, {"empty", ""}}),
            "1970-01-01T00:00:00.000Z error a: B. "
            "path=\"/x\\x0ay=\\\"z\\\"\" empty=\"\"\n");
}

TEST(LogTest, SetLevel_Warning_LeavesInfoOut) {
  Log::setLevel(LogLevel::Warning);
  EXPECT_TRUE(Log::isWritten(LogLevel::Error));
  EXPECT_TRUE(Log::isWritten(LogLevel::Warning));
  EXPECT_FALSE(Log::isWritten(LogLevel::Info));
  Log::setLevel(LogLevel::Info);
}

} // namespace
} // namespace knapweedloft::app
