#include "LoopFixture.h"
#include "policy/MemoryBudget.h"

#include "absl/time/clock.h"

#include <string>
#include <thread>

namespace knapweedloft::http {
namespace {

/// Callers that do not read what they asked for.
class UnreadAnswerTest : public LoopFixture {
protected:
  static constexpr std::size_t BudgetBytes = 4 << 20;
  /// More than the budget and the buffers of the sockets.
  static constexpr std::size_t LongBytes = 32 << 20;
  static constexpr const char *Get = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

  UnreadAnswerTest() {
    LoopServer::Options Options;
    Options.m_Budget = &m_Budget;
    serve(std::move(Options));
    onLoop([this] { m_Port = m_Server->port(); });
  }

  /// The server goes before its budget.
  ~UnreadAnswerTest() override {
    onLoop([this] { m_Server.reset(); });
  }

  [[nodiscard]] std::size_t held() {
    std::size_t Bytes = 0;
    onLoop([&] { Bytes = m_Budget.heldBytes(); });
    return Bytes;
  }

  policy::MemoryBudget m_Budget{BudgetBytes};
  std::uint16_t m_Port = 0;
};

TEST_F(UnreadAnswerTest, Answer_LargestOverBudget_OnlyThatCallerIsCutOff) {
  RawSocket Modest = RawSocket::connectTo(m_Port);
  Modest.sendAll(Get);
  answer(taken(0), std::string(1 << 20, 'm'));
  RawSocket Greedy = RawSocket::connectTo(m_Port);
  Greedy.sendAll(Get);
  answer(taken(1), std::string(LongBytes, 'g'));
  EXPECT_LE(held(), BudgetBytes);
  EXPECT_LT(Greedy.readToEnd().size(), LongBytes);
  Modest.sendAll("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  answer(taken(2), "last");
  EXPECT_TRUE(Modest.readToEnd().ends_with("last"));
  EXPECT_EQ(held(), 0U);
}

TEST_F(UnreadAnswerTest, Answer_WaitsBehindAnother_CountsToo) {
  RawSocket Caller = RawSocket::connectTo(m_Port);
  Caller.sendAll(std::string(Get) + Get);
  taken(0);
  answer(taken(1), std::string(LongBytes, 'x'));
  EXPECT_EQ(held(), 0U);
  EXPECT_EQ(Caller.readToEnd(), "");
}

TEST_F(UnreadAnswerTest, Read_UnfinishedRequestOverBudget_IsRefusedNotRun) {
  RawSocket Caller = RawSocket::connectTo(m_Port);
  Caller.sendAll("POST / HTTP/1.1\r\nContent-Length: 8000000\r\n\r\n");
  Caller.sendAll(std::string(BudgetBytes + 1, 'x'));
  EXPECT_TRUE(Caller.readToEnd().starts_with("HTTP/1.1 503 "));
  absl::MutexLock Lock(&m_Mutex);
  EXPECT_TRUE(m_Taken.empty());
}

/// As above, with a budget that nothing here reaches.
class SlowCallerTest : public LoopFixture {
protected:
  static constexpr std::size_t LongBytes = 32 << 20;
  static constexpr const char *Get = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

  /// A caller that has a long answer unread.
  RawSocket caller() {
    serve();
    onLoop([this] { m_Port = m_Server->port(); });
    RawSocket Caller = RawSocket::connectTo(m_Port);
    Caller.sendAll(Get);
    answer(taken(0), std::string(LongBytes, 'x'));
    return Caller;
  }

  std::uint16_t m_Port = 0;
};

TEST_F(SlowCallerTest, Read_AnswerIsUnread_NextRequestWaits) {
  RawSocket Slow = caller();
  Slow.sendAll("GET /next HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
  RawSocket Other = RawSocket::connectTo(m_Port);
  Other.sendAll("GET /other HTTP/1.1\r\nHost: x\r\n\r\n");
  EXPECT_EQ(taken(1).m_Message.m_Path, "/other");
  std::thread Reader([&] { EXPECT_GT(Slow.readToEnd().size(), LongBytes); });
  Taken Next = taken(2);
  EXPECT_EQ(Next.m_Message.m_Path, "/next");
  answer(Next, "last");
  Reader.join();
}

TEST_F(SlowCallerTest, Closed_AnswerIsUnread_IsSeen) {
  RawSocket Slow = caller();
  Slow.shutDown();
  std::size_t Open = 1;
  while (Open > 0)
    onLoop([&] { Open = m_Server->connections(); });
}

class UnansweredRequestTest : public UnreadAnswerTest {
protected:
  static std::string upload(std::size_t Bytes) {
    return "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(Bytes) +
           "\r\n\r\n" + std::string(Bytes, 'x');
  }

  /// A caller whose request was handed over as number \p Index.
  RawSocket uploader(std::size_t Bytes, std::size_t Index) {
    RawSocket Caller = RawSocket::connectTo(m_Port);
    Caller.sendAll(upload(Bytes));
    taken(Index);
    return Caller;
  }
};

TEST_F(UnansweredRequestTest, Read_NoRoomForWholeRequest_IsRefusedNotRun) {
  RawSocket First = uploader(BudgetBytes / 4, 0);
  RawSocket Second = RawSocket::connectTo(m_Port);
  Second.sendAll(upload(BudgetBytes / 4));
  EXPECT_TRUE(Second.readUntil("\r\n\r\n").starts_with("HTTP/1.1 503 "));
  RawSocket Small = uploader(100, 1);
  answer(taken(0), "done");
  EXPECT_TRUE(First.readUntil("done").starts_with("HTTP/1.1 200 "));
  // The refused caller's connection is still good.
  Second.sendAll(upload(BudgetBytes / 4));
  answer(taken(2), "done");
  EXPECT_TRUE(Second.readUntil("done").starts_with("HTTP/1.1 200 "));
}

TEST_F(UnansweredRequestTest, Read_OneLargeRequest_HasRoomWhateverItsSize) {
  RawSocket Small = uploader(100, 0);
  RawSocket Large = uploader(BudgetBytes - (64 << 10), 1);
  answer(taken(1), "done");
  EXPECT_TRUE(Large.readUntil("done").starts_with("HTTP/1.1 200 "));
}

TEST_F(UnansweredRequestTest, Read_ManyBehindUnansweredOnes_AreCounted) {
  constexpr std::size_t Requests = 1000;
  std::string Text;
  for (std::size_t Index = 0; Index < Requests; ++Index)
    Text += Get;
  RawSocket Caller = RawSocket::connectTo(m_Port);
  Caller.sendAll(Text);
  taken(0);
  EXPECT_GT(held(), Requests * sizeof(ParsedMessage));
  Caller.reset();
  while (held() != 0)
    absl::SleepFor(absl::Milliseconds(1));
}

TEST_F(UnansweredRequestTest, Read_RubbishBehindWaitingOnes_TheyAreNotRun) {
  constexpr std::size_t Pipelined = 64;
  std::string Text;
  for (std::size_t Index = 0; Index <= Pipelined; ++Index)
    Text += Get;
  RawSocket Caller = RawSocket::connectTo(m_Port);
  Caller.sendAll(Text + "\x01\x02");
  for (std::size_t Index = 0; Index < Pipelined; ++Index) {
    answer(taken(Index), "ok");
    EXPECT_TRUE(Caller.readUntil("ok").starts_with("HTTP/1.1 200 "));
  }
  EXPECT_TRUE(Caller.readToEnd().starts_with("HTTP/1.1 503 "));
}

TEST_F(UnansweredRequestTest, Closed_RequestUnderWay_ItsRoomIsGivenBack) {
  uploader(BudgetBytes / 4, 0).reset();
  while (held() != 0)
    absl::SleepFor(absl::Milliseconds(1));
  RawSocket Next = uploader(BudgetBytes / 4, 1);
}

} // namespace
} // namespace knapweedloft::http
