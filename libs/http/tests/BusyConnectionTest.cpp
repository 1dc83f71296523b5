#include "VirtualTimeFixture.h"

#include "absl/time/clock.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace knapweedloft::http {
namespace {

/// A caller that sends requests before it has got the answers to those before.
class BusyConnectionTest : public VirtualTimeFixture {
protected:
  static constexpr const char *Begin = "GET /next HTT";
  static constexpr const char *End = "P/1.1\r\nHost: x\r\n\r\n";
};

// Guards against a busy connection that is closed, with requests under way,
// because each read ends inside a request, though each request comes quickly.
TEST_F(BusyConnectionTest, Read_EachEndsInsideARequest_AllAreAnswered) {
  constexpr std::size_t Requests = 40;
  constexpr std::size_t UnderWay = 3;
  serve();
  send(Begin);
  for (std::size_t Index = 0; Index < Requests; ++Index) {
    pass(absl::Milliseconds(250));
    ASSERT_EQ(m_Server->connections(), 1U) << "closed at request " << Index;
    send(std::string(End) + Begin);
    if (Index >= UnderWay)
      answer(Index - UnderWay);
  }
  send(End);
  answerAll();
  EXPECT_EQ(countOf(200, Requests + 1), Requests + 1);
  EXPECT_EQ(m_Server->connections(), 1U);
}

// Guards against a slow request that costs the requests before it on its
// connection their answers.
TEST_F(BusyConnectionTest, Overdue_RequestsUnderWay_AreAnsweredBeforeItEnds) {
  serve();
  send(std::string(Begin) + End + Begin + End + Begin);
  pass(HeaderTimeout + SweepInterval);
  ASSERT_EQ(m_Server->connections(), 1U);
  answer(1);
  answer(0);
  ASSERT_EQ(answers(3).size(), 3U);
  EXPECT_EQ(answers()[0].first, 200);
  EXPECT_EQ(answers()[1].first, 200);
  EXPECT_EQ(answers()[2].first, 408);
  EXPECT_EQ(m_Taken.size(), 2U);
}

TEST_F(BusyConnectionTest, Overdue_NothingUnderWay_IsRefusedNotRun) {
  serve();
  send(Begin);
  pass(HeaderTimeout);
  EXPECT_TRUE(answers().empty());
  pass(SweepInterval);
  EXPECT_EQ(countOf(408, 1), 1U);
  m_Caller.closeNow();
  ASSERT_TRUE(runUntil([this] { return m_Server->connections() == 0; }));
  EXPECT_EQ(closedBy(CallerConnectionEnd::RequestTimeout), 1U);
}

/// As above, with requests that wait in the socket until others are answered.
class FullConnectionTest : public BusyConnectionTest {
protected:
  static constexpr std::size_t Pipelined = 4;

  /// Fills the connection; the begin of a further request is read with it.
  FullConnectionTest() {
    LoopServer::Options Options;
    Options.m_MaxPipelined = Pipelined;
    serve(std::move(Options));
    std::string Text;
    for (std::size_t Index = 0; Index < Pipelined; ++Index)
      Text += std::string(Begin) + End;
    send(Text + Begin);
  }
};

// Guards against a request that is late because the server does not read it.
TEST_F(FullConnectionTest, Overdue_RestIsNotRead_TimeDoesNotGoOn) {
  send(End);
  pass(2 * HeaderTimeout);
  answerAll();
  answerAll();
  EXPECT_EQ(countOf(200, Pipelined + 1), Pipelined + 1);
  EXPECT_EQ(m_Server->connections(), 1U);
}

TEST_F(FullConnectionTest, Overdue_StallsAfterOthersAreAnswered_IsRefused) {
  pass(2 * HeaderTimeout);
  answerAll();
  pass(HeaderTimeout);
  EXPECT_EQ(countOf(408), 0U);
  pass(SweepInterval);
  EXPECT_EQ(countOf(200, Pipelined + 1), Pipelined);
  EXPECT_EQ(countOf(408), 1U);
}

// Guards against targets that work on for a caller that has left.
TEST_F(FullConnectionTest, Closed_RequestsUnderWay_IsSeen) {
  m_Caller.closeNow();
  EXPECT_TRUE(runUntil([this] { return m_Server->connections() == 0; }));
  EXPECT_EQ(m_Server->pending(), 0U);
}

/// A caller that takes its time to read its answers.
class UnreadAnswersTest : public BusyConnectionTest {
protected:
  /// So short that the server goes on to read, with one of them unread.
  static constexpr std::size_t AnswerBytes = 100'000;

  /// Asks until the buffers of the sockets take no more.
  UnreadAnswersTest() {
    serve();
    while (m_Server->unsentBytes() == 0) {
      send(std::string(Begin) + End);
      m_Server->answer(m_Taken.back().m_Id,
                       {.m_Body = std::string(AnswerBytes, 'x')});
      m_Taken.back().m_IsAnswered = true;
    }
  }

  void readAll() {
    while (m_Server->unsentBytes() > 0) {
      (void)m_Caller.readNow();
      handleReady();
    }
  }
};

// Guards against a kept connection that counts as idle while its answer is
// read.
TEST_F(UnreadAnswersTest, Overdue_LastAnswerHasJustBeenRead_IsNotIdle) {
  pass(IdleTimeout + SweepInterval);
  readAll();
  pass(IdleTimeout);
  EXPECT_EQ(m_Server->connections(), 1U);
  pass(SweepInterval);
  EXPECT_EQ(closedBy(CallerConnectionEnd::Idle), 1U);
}

TEST_F(UnreadAnswersTest, Overdue_NothingIsRead_UnansweredRequestsAreCounted) {
  send(std::string(Begin) + End + Begin + End);
  pass(limits().m_WriteTimeout + SweepInterval);
  EXPECT_EQ(m_Server->connections(), 0U);
  EXPECT_EQ(closedBy(CallerConnectionEnd::WriteTimeout), 1U);
  EXPECT_EQ(unansweredBy(CallerConnectionEnd::WriteTimeout), 2U);
  EXPECT_EQ(m_Server->counts().cut(), 2U);
  std::vector<CallerConnectionEnd> Expected(2,
                                            CallerConnectionEnd::WriteTimeout);
  EXPECT_EQ(m_Gone, Expected);
}

// Guards against an answer behind the one that has closed the connection.
TEST_F(UnreadAnswersTest, Overdue_BehindTheClosingAnswer_IsNotAnswered) {
  send(std::string(Begin) + End + Begin);
  m_Server->beginClosing();
  answer(m_Taken.size() - 1);
  pass(HeaderTimeout + SweepInterval);
  std::size_t Asked = m_Taken.size();
  EXPECT_EQ(countOf(200, Asked), Asked);
  pass(limits().m_LingerTimeout + SweepInterval);
  EXPECT_EQ(answers().size(), Asked);
  EXPECT_EQ(closedBy(CallerConnectionEnd::LastAnswer), 1U);
}

TEST_F(BusyConnectionTest, Accept_AboveTheLimit_IsCounted) {
  LoopServer::Options Options;
  Options.m_MaxConnections = 1;
  serve(std::move(Options));
  RawSocket Further = RawSocket::connectTo(m_Server->port());
  EXPECT_TRUE(
      runUntil([this] { return closedBy(CallerConnectionEnd::TooMany) == 1; }));
  EXPECT_EQ(Further.readToEnd(), "");
}

/// The server looks at its limits before it reads what has come: after a pause,
/// or with many sockets ready at once.
class LateSweepTest : public BusyConnectionTest {
protected:
  LateSweepTest() { serve(); }

  /// Lets \p Time pass for the clock, while \p Bytes come unread.
  void pause(absl::Duration Time, std::string_view Bytes) {
    ASSERT_TRUE(m_Caller.sendAll(Bytes));
    ASSERT_TRUE(awaitDelivery());
    m_Now += Time;
    m_Server->endOverdue();
  }

  /// Waits until the kernel has what the caller sent in the server's socket.
  [[nodiscard]] bool awaitDelivery() const {
    constexpr int MaxMilliseconds = 10'000;
    for (int Waited = 0; m_Caller.unacknowledged() > 0; ++Waited) {
      if (Waited == MaxMilliseconds)
        return false;
      absl::SleepFor(absl::Milliseconds(1));
    }
    return true;
  }
};

// Guards against a request that is late because of a pause of the server.
TEST_F(LateSweepTest, Overdue_RestOfTheRequestHasCome_IsHandedOver) {
  send(std::string(Begin) + End + Begin);
  pause(2 * HeaderTimeout, End);
  answerAll();
  EXPECT_EQ(countOf(200, 2), 2U);
  EXPECT_EQ(m_Server->connections(), 1U);
}

TEST_F(LateSweepTest, Overdue_RequestHasComeOnIdleConnection_IsHandedOver) {
  send(std::string(Begin) + End);
  answerAll();
  pause(2 * IdleTimeout, std::string(Begin) + End);
  ASSERT_EQ(m_Taken.size(), 2U);
  answerAll();
  EXPECT_EQ(countOf(200, 2), 2U);
}

TEST_F(LateSweepTest, Overdue_AfterAPause_OtherSocketsAreReadFirst) {
  // Longer than what counts as a pause.
  constexpr absl::Duration Work = absl::Milliseconds(700);
  send(std::string(Begin) + End);
  answerAll();
  m_Loop.post([&] {
    absl::SleepFor(Work);
    // In the next round, which finds that the loop was held up.
    m_Loop.post([&] {
      pause(2 * IdleTimeout, std::string(Begin) + End);
      EXPECT_EQ(m_Taken.size(), 1U);
      m_Loop.stop();
    });
  });
  m_Loop.run();
  EXPECT_TRUE(runUntil([this] { return m_Taken.size() == 2; }));
}

TEST_F(LateSweepTest, Overdue_NothingHasCome_Ends) {
  send(Begin);
  pause(2 * HeaderTimeout, "");
  EXPECT_EQ(countOf(408, 1), 1U);
}

class SlowBodyTest : public BusyConnectionTest,
                     public testing::WithParamInterface<const char *> {
protected:
  SlowBodyTest() {
    serve();
    send(std::string(Begin) + End + GetParam());
  }
};

// Guards against an upload that is cut by the limit of its head.
TEST_P(SlowBodyTest, Read_BodyTakesLongerThanAHeadMay_IsHandedOver) {
  for (int Byte = 0; Byte < 10; ++Byte) {
    pass(IdleTimeout / 2);
    send("x");
  }
  send("\r\n0\r\n\r\n");
  answerAll();
  EXPECT_EQ(countOf(200, 2), 2U);
}

TEST_P(SlowBodyTest, Overdue_BodyStalls_IsRefusedBehindTheOthers) {
  send("xxx");
  pass(IdleTimeout);
  EXPECT_EQ(m_Server->connections(), 1U);
  answerAll();
  EXPECT_EQ(countOf(408), 0U);
  pass(SweepInterval);
  EXPECT_EQ(countOf(200, 2), 1U);
  EXPECT_EQ(countOf(408), 1U);
  EXPECT_EQ(m_Taken.size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(
    Framings, SlowBodyTest,
    testing::Values("POST / HTTP/1.1\r\nContent-Length: 17\r\n\r\n",
                    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\na"
                    "\r\n"),
    [](const auto &Info) { return Info.index == 0 ? "Length" : "Chunks"; });

} // namespace
} // namespace knapweedloft::http
