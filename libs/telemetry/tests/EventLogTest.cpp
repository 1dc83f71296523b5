#include "telemetry/EventLog.h"

#include "gtest/gtest.h"

#include <algorithm>
#include <fcntl.h>
#include <string>
#include <unistd.h>

namespace knapweedloft::telemetry {
namespace {

class EventLogTest : public testing::Test {
protected:
  EventLog makeLog(std::size_t BytesPerSecond) {
    return EventLog({.m_BytesPerSecond = BytesPerSecond,
                     .m_MaxWaitingBytes = 4096,
                     .m_Sink = [this](std::string_view Text) {
                       std::size_t Taken = std::min(Text.size(), m_Room);
                       m_Written += Text.substr(0, Taken);
                       m_Room -= Taken;
                       return Taken;
                     }});
  }

  absl::Time m_Now = absl::FromUnixSeconds(1'700'000'000);
  std::string m_Written;
  std::size_t m_Room = SIZE_MAX;
};

TEST_F(EventLogTest, Write_Line_HasTimePartSentenceAndFields) {
  EventLog Log = makeLog(10'000);
  Log.write(Importance::State, "entry", "Refused.", m_Now,
            {{"id", "a1"}, {"why", "two words"}});
  Log.flush(m_Now);
  EXPECT_EQ(m_Written, "2023-11-14T22:13:20.000Z entry: Refused. id=a1 "
                       "why=\"two words\"\n");
}

TEST_F(EventLogTest, Write_LineFeedInAValue_StaysOnOneLine) {
  EventLog Log = makeLog(10'000);
  Log.write(Importance::State, "entry", "Bad.", m_Now, {{"v", "a\nb"}});
  Log.flush(m_Now);
  EXPECT_EQ(std::count(m_Written.begin(), m_Written.end(), '\n'), 1);
}

TEST_F(EventLogTest, Write_PastTheBudget_KeepsFailuresBeforeSuccesses) {
  EventLog Log = makeLog(2000);
  for (int Index = 0; Index < 100; ++Index)
    Log.write(Importance::Routine, "entry", "Answered.", m_Now);
  Log.write(Importance::Notable, "entry", "Refused.", m_Now);
  Log.flush(m_Now);
  EXPECT_NE(m_Written.find("Refused."), std::string::npos);
  EXPECT_GT(Log.dropped(Importance::Routine), 0U);
  EXPECT_EQ(Log.dropped(Importance::Notable), 0U);
  EXPECT_LE(m_Written.size(), 2000U);
}

TEST_F(EventLogTest, Write_LinesWereDropped_TellsHowManyOfWhichKind) {
  EventLog Log = makeLog(300);
  for (int Index = 0; Index < 20; ++Index)
    Log.write(Importance::Routine, "entry", "Answered.", m_Now);
  m_Now += absl::Seconds(2);
  Log.flush(m_Now);
  EXPECT_NE(m_Written.find("Lines were dropped."), std::string::npos);
  EXPECT_NE(m_Written.find("routine=" +
                           std::to_string(Log.dropped(Importance::Routine))),
            std::string::npos);
}

TEST_F(EventLogTest, Flush_ReaderTakesNothing_BuffersABoundedNumberOfBytes) {
  m_Room = 0;
  EventLog Log = makeLog(1 << 20);
  for (int Index = 0; Index < 10'000; ++Index) {
    Log.write(Importance::State, "node", "Something changed.", m_Now);
    Log.flush(m_Now);
  }
  EXPECT_GT(Log.dropped(Importance::State), 9000U);
  m_Room = SIZE_MAX;
  Log.flush(m_Now);
  EXPECT_LE(m_Written.size(), 2 * 4096U);
}

TEST_F(EventLogTest, DescriptorSink_FullPipe_TakesNothingAndDoesNotBlock) {
  int Ends[2];
  ASSERT_EQ(::pipe(Ends), 0);
  auto Sink = descriptorSink(Ends[1]);
  std::string Text(4096, 'x');
  std::size_t Total = 0;
  while (std::size_t Taken = Sink(Text))
    Total += Taken;
  EXPECT_GT(Total, 0U);
  EXPECT_EQ(Sink(Text), 0U);
  EXPECT_EQ(::fcntl(Ends[1], F_GETFL) & O_NONBLOCK, 0);
  ::close(Ends[0]);
  ::close(Ends[1]);
}

} // namespace
} // namespace knapweedloft::telemetry
