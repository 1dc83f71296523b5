#include "http/MessageParser.h"

#include "gtest/gtest.h"

#include <string>

namespace knapweedloft::http {
namespace {

class MessageParserTest : public testing::Test {
protected:
  MessageParser m_Requests{MessageKind::Request,
                           {.m_MaxHeaderBytes = 256, .m_MaxBodyBytes = 64}};
  MessageParser m_Answers{MessageKind::Response, {}};
};

TEST_F(MessageParserTest, Feed_ByteByByte_YieldsTheWholeRequest) {
  std::string Text = "POST /a/b?c=1 HTTP/1.1\r\nHost: x\r\n"
                     "Content-Length: 5\r\n\r\nhello";
  for (char Byte : Text) {
    EXPECT_FALSE(m_Requests.hasMessage());
    ASSERT_EQ(m_Requests.feed({&Byte, 1}), ParseState::Good);
  }
  ASSERT_TRUE(m_Requests.hasMessage());
  ParsedMessage Request = m_Requests.take();
  EXPECT_EQ(Request.m_Method, "POST");
  EXPECT_EQ(Request.m_Path, "/a/b?c=1");
  EXPECT_EQ(Request.m_Body, "hello");
  EXPECT_TRUE(Request.m_KeepsOpen);
}

TEST_F(MessageParserTest, Feed_PipelinedRequests_YieldsEachInOrder) {
  m_Requests.feed("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
  EXPECT_EQ(m_Requests.take().m_Path, "/1");
  EXPECT_EQ(m_Requests.take().m_Path, "/2");
}

TEST_F(MessageParserTest, Begun_EndOfOneAndBeginOfNext_CountsTheNext) {
  m_Requests.feed("GET /1 HT");
  EXPECT_EQ(m_Requests.begun(), 1U);
  m_Requests.feed("TP/1.1\r\n\r\nGET /2 HT");
  EXPECT_TRUE(m_Requests.isInside());
  EXPECT_EQ(m_Requests.begun(), 2U);
  m_Requests.feed("TP/1.1\r\n\r\n");
  EXPECT_EQ(m_Requests.begun(), 2U);
}

TEST_F(MessageParserTest, Feed_LengthAndChunks_IsMalformed) {
  EXPECT_EQ(m_Requests.feed("POST / HTTP/1.1\r\nContent-Length: 5\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
            ParseState::Malformed);
}

TEST_F(MessageParserTest, Feed_TwoLengths_IsMalformed) {
  EXPECT_EQ(m_Requests.feed("POST / HTTP/1.1\r\nContent-Length: 5\r\n"
                            "Content-Length: 6\r\n\r\n"),
            ParseState::Malformed);
}

TEST_F(MessageParserTest, Feed_DeclaredBodyPastTheLimit_IsTooLong) {
  EXPECT_EQ(m_Requests.feed("POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n"),
            ParseState::BodyTooLong);
}

TEST_F(MessageParserTest, Feed_ChunksPastTheLimit_IsTooLong) {
  std::string Chunk = "28\r\n" + std::string(40, 'x') + "\r\n";
  EXPECT_EQ(
      m_Requests.feed("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" +
                      Chunk + Chunk),
      ParseState::BodyTooLong);
}

TEST_F(MessageParserTest, Feed_HeadersPastTheLimit_AreTooLong) {
  EXPECT_EQ(m_Requests.feed("GET / HTTP/1.1\r\nA: " + std::string(300, 'x')),
            ParseState::HeadersTooLong);
}

TEST_F(MessageParserTest, FeedEnd_AnswerWithoutLength_EndsWithItsConnection) {
  ASSERT_EQ(m_Answers.feed("HTTP/1.1 200 OK\r\n\r\nhalf"), ParseState::Good);
  EXPECT_FALSE(m_Answers.hasMessage());
  ASSERT_EQ(m_Answers.feedEnd(), ParseState::Good);
  EXPECT_EQ(m_Answers.take().m_Body, "half");
}

TEST_F(MessageParserTest, FeedEnd_CutAnswer_YieldsNothing) {
  m_Answers.feed("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
  EXPECT_EQ(m_Answers.feedEnd(), ParseState::Malformed);
  EXPECT_FALSE(m_Answers.hasMessage());
}

TEST_F(MessageParserTest, FeedEnd_ChunksWithoutTheLast_YieldsNothing) {
  m_Answers.feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "4\r\nhalf\r\n");
  EXPECT_EQ(m_Answers.feedEnd(), ParseState::Malformed);
  EXPECT_FALSE(m_Answers.hasMessage());
}

TEST_F(MessageParserTest, Feed_RubbishBehindAnAnswer_TheAnswerStands) {
  m_Answers.feed("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok???");
  ASSERT_TRUE(m_Answers.hasMessage());
  EXPECT_EQ(m_Answers.take().m_Body, "ok");
  EXPECT_NE(m_Answers.state(), ParseState::Good);
}

} // namespace
} // namespace knapweedloft::http
