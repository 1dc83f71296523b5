#include "LoopFixture.h"
#include "http/HttpClient.h"
#include "http/MessageParser.h"

#include "fmt/format.h"

#include <string>
#include <tuple>

namespace knapweedloft::http {
namespace {

using namespace std::string_literals;

/// Bytes that a server sends, and the rule of RFC 9112 or RFC 9110 that they
/// break. Those that break none are an answer with the body "body".
struct AnswerCase {
  const char *m_Name;
  std::string m_Bytes;
  AnswerFault m_Fault = AnswerFault::None;
};

std::string nameOfCase(const testing::TestParamInfo<AnswerCase> &Info) {
  return Info.param.m_Name;
}

/// A server that sends the bytes of a case, and a sound answer behind those
/// that are none. It keeps the connection open.
class AnswerGrammarTest : public LoopFixture,
                          public testing::WithParamInterface<AnswerCase> {
protected:
  static constexpr absl::Duration Timeout = absl::Minutes(1);

  [[nodiscard]] static bool isSound() {
    return GetParam().m_Fault == AnswerFault::None;
  }

  static std::string bytes() {
    constexpr const char *Sound =
        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnext";
    return GetParam().m_Bytes + (isSound() ? "" : Sound);
  }

  /// \returns whether the client closed the connection without more requests.
  bool serveOne() {
    RawSocket Client = m_Listener.acceptOne();
    (void)Client.readUntil("\r\n\r\n");
    Client.sendAll(bytes());
    m_Done.WaitForNotification();
    return m_Result.m_Failure == Failure::Cut && Client.readToEnd().empty();
  }

  void take(HttpResult Result) {
    m_Result = std::move(Result);
    m_Done.Notify();
  }

  void expectVerdict() const {
    ASSERT_EQ(m_Result.m_Failure, isSound() ? Failure::None : Failure::Cut);
    EXPECT_EQ(m_Result.m_Fault == AnswerFault::None, isSound());
    if (isSound()) {
      EXPECT_EQ(m_Result.m_Response.m_Body, "body");
    }
  }

  RawSocket m_Listener = RawSocket::listenAnywhere();
  absl::Notification m_Done;
  HttpResult m_Result;
};

TEST_P(AnswerGrammarTest, LoopClient_Answer_MeetsTheGrammarOrIsCutAtOnce) {
  onLoop([this] {
    m_Client = std::make_unique<LoopClient>(m_Loop, LoopClient::Options{});
    m_Client->send(
        {.m_To = {"127.0.0.1", m_Listener.port()},
         .m_Text = "GET / HTTP/1.1\r\n\r\n",
         .m_Timeout = Timeout},
        [this](HttpResult Result, absl::Time) { take(std::move(Result)); });
  });
  EXPECT_EQ(serveOne(), !isSound());
  expectVerdict();
  EXPECT_EQ(AnswerFaultNames.nameOf(m_Result.m_Fault),
            AnswerFaultNames.nameOf(GetParam().m_Fault));
}

// libcurl refuses some of the cases by itself and does not tell for what.
TEST_P(AnswerGrammarTest, HttpClient_Answer_MeetsTheGrammarOrIsCutAtOnce) {
  HttpClient Client({});
  Client.send(fmt::format("http://127.0.0.1:{}", m_Listener.port()),
              {"GET", "/", {}, ""}, Timeout,
              [this](HttpResult Result) { take(std::move(Result)); });
  EXPECT_EQ(serveOne(), !isSound());
  expectVerdict();
}

TEST_P(AnswerGrammarTest, Parser_AnyPieces_SameVerdict) {
  for (std::size_t PieceBytes : {std::size_t{1}, std::size_t{2}, std::size_t{7},
                                 GetParam().m_Bytes.size()}) {
    MessageParser Parser(MessageKind::Response, {});
    std::string_view Rest = GetParam().m_Bytes;
    while (!Rest.empty()) {
      Parser.feed(Rest.substr(0, PieceBytes));
      Rest.remove_prefix(std::min(PieceBytes, Rest.size()));
    }
    ParsedMessage Last;
    while (Parser.hasMessage())
      Last = Parser.take();
    EXPECT_EQ(Last.m_Body, isSound() ? "body" : "") << PieceBytes;
    EXPECT_EQ(AnswerFaultNames.nameOf(Parser.fault()),
              AnswerFaultNames.nameOf(GetParam().m_Fault))
        << PieceBytes;
  }
}

AnswerCase statusLine(const char *Name, const std::string &Line,
                      AnswerFault Fault = AnswerFault::None) {
  return {Name, Line + "\r\nContent-Length: 4\r\n\r\nbody", Fault};
}

INSTANTIATE_TEST_SUITE_P(
    StatusLine, AnswerGrammarTest,
    testing::Values(
        statusLine("Usual", "HTTP/1.1 200 OK"),
        statusLine("NoReason", "HTTP/1.1 200 "),
        statusLine("NoBlankBeforeTheReason", "HTTP/1.1 200"),
        statusLine("ReasonOfAnyText", "HTTP/1.1 404 \xc3\xa9\t~ 1"),
        statusLine("HighestStatus", "HTTP/1.1 599 Own"),
        statusLine("BehindInterim", "HTTP/1.1 100 Continue\r\n\r\n"
                                    "HTTP/1.1 103 Early Hints\r\nLink: x\r\n"
                                    "\r\nHTTP/1.1 200 OK"),
        statusLine("Zeros", "HTTP/1.1 000 Trouble", AnswerFault::StatusLine),
        statusLine("LowStatus", "HTTP/1.1 099 Low", AnswerFault::StatusLine),
        statusLine("HighStatus", "HTTP/1.1 600 High", AnswerFault::StatusLine),
        statusLine("HighestDigits", "HTTP/1.1 999 High",
                   AnswerFault::StatusLine),
        statusLine("TwoDigits", "HTTP/1.1 20 OK", AnswerFault::StatusLine),
        statusLine("FourDigits", "HTTP/1.1 2000 OK", AnswerFault::StatusLine),
        statusLine("LetterInStatus", "HTTP/1.1 2x0 OK",
                   AnswerFault::StatusLine),
        statusLine("SignedStatus", "HTTP/1.1 -20 OK", AnswerFault::StatusLine),
        statusLine("NoStatus", "HTTP/1.1 ", AnswerFault::StatusLine),
        statusLine("TwoBlanks", "HTTP/1.1  200 OK", AnswerFault::StatusLine),
        statusLine("Tab", "HTTP/1.1\t200 OK", AnswerFault::StatusLine),
        statusLine("StatusRunsIntoReason", "HTTP/1.1 200OK",
                   AnswerFault::StatusLine),
        statusLine("OtherMajorVersion", "HTTP/2.0 200 OK",
                   AnswerFault::StatusLine),
        statusLine("TwoMinorDigits", "HTTP/1.10 200 OK",
                   AnswerFault::StatusLine),
        statusLine("NoMinorVersion", "HTTP/1 200 OK", AnswerFault::StatusLine),
        statusLine("LowerCaseVersion", "http/1.1 200 OK",
                   AnswerFault::StatusLine),
        statusLine("LeadingBlank", " HTTP/1.1 200 OK", AnswerFault::StatusLine),
        statusLine("LeadingEmptyLine", "\r\nHTTP/1.1 200 OK",
                   AnswerFault::StatusLine),
        statusLine("UnaskedSwitch", "HTTP/1.1 101 Switching Protocols",
                   AnswerFault::StatusLine),
        statusLine("ZerosBehindInterim",
                   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Trouble",
                   AnswerFault::StatusLine),
        statusLine("ControlInReason", "HTTP/1.1 200 O\x01K",
                   AnswerFault::StatusLine),
        statusLine("CarriageReturnInReason", "HTTP/1.1 200 OK\rX",
                   AnswerFault::StatusLine),
        statusLine("NoHttp", "\x01\x02 what is this", AnswerFault::StatusLine)),
    nameOfCase);

AnswerCase field(const char *Name, const std::string &Line,
                 AnswerFault Fault = AnswerFault::None) {
  return {Name,
          "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n" + Line + "\r\n\r\nbody",
          Fault};
}

INSTANTIATE_TEST_SUITE_P(
    Fields, AnswerGrammarTest,
    testing::Values(
        field("NoBlank", "X:y"), field("BlanksAround", "X: \t y \t"),
        field("NoValue", "X:"), field("AnyToken", "!#$%&'*+-.^_`|~9z: y"),
        field("ValueOfAnyText", "X: \x80\xff \t :;,"),
        field("LineFeedAlone", "X: y\nZ: y"),
        field("BlankInName", "X y: z", AnswerFault::Fields),
        field("BlankBeforeColon", "X : z", AnswerFault::Fields),
        field("TabBeforeColon", "X\t: z", AnswerFault::Fields),
        field("ControlInName", "X\x01y: z", AnswerFault::Fields),
        field("ZeroInName", "X\0y: z"s, AnswerFault::Fields),
        field("DeleteInName", "X\x7fy: z", AnswerFault::Fields),
        field("HighByteInName", "X\x80y: z", AnswerFault::Fields),
        field("DelimiterInName", "X(y): z", AnswerFault::Fields),
        field("CarriageReturnInName", "X\ry: z", AnswerFault::Fields),
        field("EmptyName", ": z", AnswerFault::Fields),
        field("NoColon", "X", AnswerFault::Fields),
        field("FoldedLine", "X: y\r\n z", AnswerFault::Fields),
        field("ControlInValue", "X: y\x01z", AnswerFault::Fields),
        field("ZeroInValue", "X: y\0z"s, AnswerFault::Fields),
        field("DeleteInValue", "X: y\x7fz", AnswerFault::Fields),
        field("CarriageReturnInValue", "X: y\rz", AnswerFault::Fields),
        AnswerCase{"BlankBeforeColonOfLength",
                   "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody",
                   AnswerFault::Fields},
        AnswerCase{"BlankBeforeColonOfCoding",
                   "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n"
                   "4\r\nbody\r\n0\r\n\r\n",
                   AnswerFault::Fields},
        AnswerCase{"FirstLineFolded",
                   "HTTP/1.1 200 OK\r\n X: y\r\nContent-Length: 4\r\n\r\nbody",
                   AnswerFault::Fields},
        AnswerCase{"BlankInNameOfInterim",
                   "HTTP/1.1 100 Continue\r\nX y: z\r\n\r\n"
                   "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
                   AnswerFault::Fields}),
    nameOfCase);

AnswerCase framing(const char *Name, const std::string &Lines,
                   AnswerFault Fault = AnswerFault::None) {
  return {Name, "HTTP/1.1 200 OK\r\n" + Lines + "\r\n\r\nbody", Fault};
}

AnswerCase coding(const char *Name, const std::string &Lines,
                  AnswerFault Fault = AnswerFault::None) {
  return {Name,
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + Lines +
              "\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
          Fault};
}

INSTANTIATE_TEST_SUITE_P(
    Framing, AnswerGrammarTest,
    testing::Values(
        framing("Length", "content-length:4"),
        framing("SameLengthTwice", "Content-Length: 4\r\nContent-Length: 4"),
        framing("ListOfSameLength", "Content-Length: 4 , 4"),
        framing("NoLength", "Content-Length:", AnswerFault::Framing),
        framing("PlusSign", "Content-Length: +4", AnswerFault::Framing),
        framing("MinusSign", "Content-Length: -4", AnswerFault::Framing),
        framing("LetterBehind", "Content-Length: 4x", AnswerFault::Framing),
        framing("Hexadecimal", "Content-Length: 0x4", AnswerFault::Framing),
        framing("BlankInLength", "Content-Length: 4 4", AnswerFault::Framing),
        framing("EmptyMember", "Content-Length: 4,", AnswerFault::Framing),
        framing("TwoLengths", "Content-Length: 4\r\nContent-Length: 5",
                AnswerFault::Framing),
        framing("ListOfTwoLengths", "Content-Length: 4, 5",
                AnswerFault::Framing),
        framing("LengthPastAllNumbers", "Content-Length: 18446744073709551620",
                AnswerFault::Framing),
        coding("Chunked", "Chunked"),
        coding("UnaskedCoding", "gzip, chunked", AnswerFault::Framing),
        coding("ChunkedNotLast", "chunked, gzip", AnswerFault::Framing),
        coding("ChunkedTwice", "chunked\r\nTransfer-Encoding: chunked",
               AnswerFault::Framing),
        coding("UnknownCoding", "xchunked", AnswerFault::Framing),
        coding("Identity", "identity", AnswerFault::Framing),
        coding("NoCoding", "", AnswerFault::Framing),
        coding("LengthAndChunks", "chunked\r\nContent-Length: 4",
               AnswerFault::Framing),
        AnswerCase{"ChunksInOldVersion",
                   "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "4\r\nbody\r\n0\r\n\r\n",
                   AnswerFault::Framing}),
    nameOfCase);

AnswerCase chunks(const char *Name, const std::string &Body,
                  AnswerFault Fault = AnswerFault::None) {
  return {Name, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Body,
          Fault};
}

INSTANTIATE_TEST_SUITE_P(
    Chunks, AnswerGrammarTest,
    testing::Values(
        chunks("One", "4\r\nbody\r\n0\r\n\r\n"),
        chunks("Several", "1\r\nb\r\n3\r\nody\r\n000\r\n\r\n"),
        chunks("LeadingZeros", "004\r\nbody\r\n0\r\n\r\n"),
        chunks("Extension", "4;a=\"b c\"\r\nbody\r\n0;d\r\n\r\n"),
        chunks("BlanksBeforeExtension", "4 \t;a\r\nbody\r\n0\r\n\r\n"),
        chunks("Trailer", "4\r\nbody\r\n0\r\nX: y\r\nZ:\r\n\r\n"),
        chunks("NoSize", "\r\nbody\r\n0\r\n\r\n", AnswerFault::Chunks),
        chunks("NoDigit", "g\r\nbody\r\n0\r\n\r\n", AnswerFault::Chunks),
        chunks("MinusSign", "-4\r\nbody\r\n0\r\n\r\n", AnswerFault::Chunks),
        chunks("Prefix", "0x4\r\nbody\r\n0\r\n\r\n", AnswerFault::Chunks),
        chunks("LetterBehindSize", "4z\r\nbody\r\n0\r\n\r\n",
               AnswerFault::Chunks),
        chunks("TwoSizes", "4 4\r\nbody\r\n0\r\n\r\n", AnswerFault::Chunks),
        chunks("SizePastAllNumbers", "10000000000000004\r\nbody\r\n0\r\n\r\n",
               AnswerFault::Chunks),
        chunks("ControlInExtension", "4;a\x01\r\nbody\r\n0\r\n\r\n",
               AnswerFault::Chunks),
        chunks("LineFeedInExtension", "4;a\nb\r\nbody\r\n0\r\n\r\n",
               AnswerFault::Chunks),
        chunks("LineFeedBehindSize", "4\nbody\r\n0\r\n\r\n",
               AnswerFault::Chunks),
        chunks("CarriageReturnBehindSize", "4\rxbody\r\n0\r\n\r\n",
               AnswerFault::Chunks),
        chunks("MoreThanItsSize", "4\r\nbody!!0\r\n\r\n", AnswerFault::Chunks),
        chunks("LineFeedBehindContent", "4\r\nbody\n0\r\n\r\n",
               AnswerFault::Chunks),
        chunks("BlankInTrailerName", "4\r\nbody\r\n0\r\nX y: z\r\n\r\n",
               AnswerFault::Fields),
        chunks("NoColonInTrailer", "4\r\nbody\r\n0\r\nX\r\n\r\n",
               AnswerFault::Fields)),
    nameOfCase);

} // namespace
} // namespace knapweedloft::http
