#include "VirtualTimeFixture.h"

#include "fmt/format.h"

#include <random>
#include <string>
#include <vector>

namespace knapweedloft::http {
namespace {

/// Pipelined requests of all framings, cut at any bytes, answered in any order.
class SplitRequestTest : public VirtualTimeFixture,
                         public testing::WithParamInterface<unsigned> {
protected:
  struct Request {
    std::size_t m_Begin = 0;   ///< Offset of its first byte.
    std::size_t m_HeadEnd = 0; ///< Offset behind its header section.
    std::size_t m_End = 0;     ///< Offset behind its last byte.
  };

  SplitRequestTest() {
    std::size_t Count = number(5, 40);
    for (std::size_t Index = 0; Index < Count; ++Index)
      addRequest(Index);
  }

  std::size_t number(std::size_t Least, std::size_t Most) {
    return std::uniform_int_distribution<std::size_t>(Least, Most)(m_Random);
  }

  absl::Duration duration(absl::Duration Most) {
    return absl::Milliseconds(number(0, absl::ToInt64Milliseconds(Most)));
  }

  void addRequest(std::size_t Index) {
    Request Next{.m_Begin = m_Text.size()};
    std::size_t Kind = number(0, 2);
    std::string Body(number(1, 200), 'b');
    m_Text += fmt::format("{} /{} HTTP/1.1\r\nHost: x\r\n",
                          Kind == 0 ? "GET" : "POST", Index);
    if (Kind == 1)
      m_Text += fmt::format("Content-Length: {}\r\n", Body.size());
    if (Kind == 2)
      m_Text += "Transfer-Encoding: chunked\r\n";
    m_Text += "\r\n";
    Next.m_HeadEnd = m_Text.size();
    if (Kind == 1)
      m_Text += Body;
    if (Kind == 2)
      m_Text += fmt::format("{:x}\r\n{}\r\n0\r\n\r\n", Body.size(), Body);
    Next.m_End = m_Text.size();
    m_Requests.push_back(Next);
  }

  /// Sends the next \p Bytes in one piece.
  void sendPiece(std::size_t Bytes) {
    send(std::string_view(m_Text).substr(m_Sent, Bytes));
    const Request &Last = m_Requests[requestAt(m_Sent + Bytes - 1)];
    if (Last.m_Begin >= m_Sent)
      m_LastBegan = m_Now;
    m_Sent += Bytes;
  }

  /// \returns the request that the byte at \p Offset belongs to.
  [[nodiscard]] std::size_t requestAt(std::size_t Offset) const {
    std::size_t Index = 0;
    while (Index + 1 < m_Requests.size() && m_Requests[Index].m_End <= Offset)
      ++Index;
    return Index;
  }

  /// Sends the text up to \p End in pieces, so that each request is whole in
  /// its time.
  void sendUpTo(std::size_t End) {
    while (m_Sent < End) {
      ASSERT_NO_FATAL_FAILURE(sendPiece(std::min(number(1, 300), End - m_Sent)))
          << "closed at byte " << m_Sent;
      if (m_Sent == End)
        return;
      absl::Time Due = m_LastBegan + HeaderTimeout;
      passAnswering(std::min(duration(absl::Milliseconds(600)), Due - m_Now));
      std::size_t Rest =
          std::min(m_Requests[requestAt(m_Sent - 1)].m_End, End) - m_Sent;
      if (m_Now < Due || Rest == 0)
        continue;
      ASSERT_NO_FATAL_FAILURE(sendPiece(Rest)) << "closed at byte " << m_Sent;
    }
  }

  /// Lets time pass while requests are answered in any order, each in time.
  void passAnswering(absl::Duration Time) {
    absl::Time Until = m_Now + Time;
    while (m_Now < Until) {
      pass(std::min(absl::Milliseconds(100), Until - m_Now));
      answerSome();
    }
  }

  void answerSome() {
    for (std::size_t Index = 0; Index < m_Taken.size(); ++Index)
      if (m_Taken[Index].m_At + m_AnswerTime <= m_Now || number(0, 30) == 0)
        answer(Index);
  }

  void expectAnsweredInOrder(std::size_t Count) {
    ASSERT_GE(answers(Count).size(), Count);
    for (std::size_t Index = 0; Index < Count; ++Index)
      EXPECT_EQ(answers()[Index], std::pair(200, fmt::format("/{}", Index)));
  }

  absl::Duration m_AnswerTime = absl::Seconds(2); ///< The longest.
  std::mt19937 m_Random{GetParam()};
  std::string m_Text;
  std::vector<Request> m_Requests;
  std::size_t m_Sent = 0;
  absl::Time m_LastBegan = m_Now; ///< The last request that was sent.
};

// Guards against limits of time that one request of a connection inherits from
// another.
TEST_P(SplitRequestTest, Server_EachRequestWholeInItsTime_AllAreAnswered) {
  serve();
  sendUpTo(m_Text.size());
  ASSERT_FALSE(HasFatalFailure());
  answerAll();
  expectAnsweredInOrder(m_Requests.size());
  EXPECT_EQ(answers().size(), m_Requests.size());
  EXPECT_EQ(m_Server->connections(), 1U);
}

// Guards against limits of time that run on while the server does not read.
TEST_P(SplitRequestTest, Server_FewUnansweredAtOnce_AllAreAnswered) {
  LoopServer::Options Options;
  Options.m_MaxPipelined = number(1, 3);
  m_AnswerTime = 3 * HeaderTimeout;
  serve(std::move(Options));
  sendUpTo(m_Text.size());
  ASSERT_FALSE(HasFatalFailure());
  for (std::size_t Round = 0; Round < m_Requests.size(); ++Round)
    answerAll();
  expectAnsweredInOrder(m_Requests.size());
  EXPECT_EQ(m_Server->connections(), 1U);
}

TEST_P(SplitRequestTest, Server_OneHeadStalls_IsRefusedBehindTheOthersInTime) {
  std::size_t Stalled = number(0, m_Requests.size() - 1);
  const Request &Late = m_Requests[Stalled];
  serve();
  sendUpTo(number(Late.m_Begin + 1, Late.m_HeadEnd - 1));
  ASSERT_FALSE(HasFatalFailure());
  absl::Time Due = m_LastBegan + HeaderTimeout;
  passAnswering(Due - m_Now);
  EXPECT_EQ(countOf(408), 0U);
  expectAnsweredInOrder(Stalled);
  passAnswering(SweepInterval);
  EXPECT_EQ(countOf(408, Stalled + 1), 1U);
  EXPECT_EQ(answers().size(), Stalled + 1);
  EXPECT_EQ(m_Taken.size(), Stalled);
}

INSTANTIATE_TEST_SUITE_P(Seeds, SplitRequestTest, testing::Range(1U, 101U));

} // namespace
} // namespace knapweedloft::http
