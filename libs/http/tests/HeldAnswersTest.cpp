#include "RawSocket.h"
#include "http/HttpClient.h"

#include "absl/time/clock.h"
#include "fmt/format.h"
#include "gtest/gtest.h"

#include <atomic>
#include <list>
#include <thread>

namespace knapweedloft::http {
namespace {

/// Calls of one HttpClient whose answers stop before their end and stay.
class HeldAnswersTest : public testing::Test {
protected:
  static constexpr std::size_t Calls = 40;
  static constexpr std::size_t AnswerBytes = 8 << 20;
  static constexpr std::size_t MaxHeldBytes = 256 << 20;

  void answerAllButTheEnd() {
    for (std::size_t Index = 0; Index < Calls; ++Index) {
      RawSocket Client = m_Listener.acceptOne();
      (void)Client.readUntil("\r\n\r\n");
      Client.sendAll(fmt::format(
          "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", AnswerBytes));
      Client.sendAll(std::string(AnswerBytes - 1, 'x'));
      m_Clients.push_back(std::move(Client));
    }
  }

  RawSocket m_Listener = RawSocket::listenAnywhere();
  std::list<RawSocket> m_Clients;
  std::atomic<std::size_t> m_Cut = 0;
  HttpClient m_Client{{.m_MaxBodyBytes = AnswerBytes}};
};

// Guards against answers that are within their limit, and too much together.
TEST_F(HeldAnswersTest, Client_ManyUnfinished_HoldsNoMoreThanTheBound) {
  std::thread Server([this] { answerAllButTheEnd(); });
  for (std::size_t Index = 0; Index < Calls; ++Index)
    m_Client.send(fmt::format("http://127.0.0.1:{}", m_Listener.port()),
                  {"GET", "/", {}, ""}, absl::Minutes(1),
                  [this](const HttpResult &) { ++m_Cut; });
  Server.join();
  absl::Time Until = absl::Now() + absl::Seconds(10);
  auto MostHeld = [this] { return (Calls - m_Cut) * (AnswerBytes - 1); };
  while (MostHeld() > MaxHeldBytes && absl::Now() < Until)
    absl::SleepFor(absl::Milliseconds(10));
  EXPECT_LE(MostHeld(), MaxHeldBytes);
}

} // namespace
} // namespace knapweedloft::http
