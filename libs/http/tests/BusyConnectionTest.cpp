#include "VirtualTimeFixture.h"

#include <string>

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
  EXPECT_EQ(countOf(200), Requests + 1);
  EXPECT_EQ(m_Server->connections(), 1U);
}

} // namespace
} // namespace knapweedloft::http
