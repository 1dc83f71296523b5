#include "RawSocket.h"
#include "http/HttpExchange.h"
#include "http/HttpServer.h"

#include "absl/time/clock.h"
#include "gtest/gtest.h"

#include <csignal>
#include <string>
#include <string_view>
#include <sys/wait.h>
#include <unistd.h>

namespace knapweedloft::http {
namespace {

/// A server in a process of its own, which the test stops and continues.
class ServerPauseTest : public testing::Test {
protected:
  static constexpr absl::Duration IdleTimeout = absl::Seconds(1);
  /// Longer than any limit of time of the server.
  static constexpr absl::Duration Pause = absl::Seconds(4);

  void SetUp() override {
    int Ends[2];
    ASSERT_EQ(::pipe(Ends), 0);
    m_Process = ::fork();
    ASSERT_GE(m_Process, 0);
    if (m_Process == 0)
      serve(Ends[1]);
    ASSERT_EQ(::read(Ends[0], &m_Port, sizeof m_Port), sizeof m_Port);
    ::close(Ends[0]);
    ::close(Ends[1]);
  }

  void TearDown() override {
    if (m_Process <= 0)
      return;
    ::kill(m_Process, SIGKILL);
    ::waitpid(m_Process, nullptr, 0);
  }

  /// Stops the server, and sends \p Bytes meanwhile.
  void pause(const RawSocket &Caller, std::string_view Bytes) const {
    ASSERT_EQ(::kill(m_Process, SIGSTOP), 0);
    int Status = 0;
    ASSERT_EQ(::waitpid(m_Process, &Status, WUNTRACED), m_Process);
    EXPECT_TRUE(Caller.sendAll(Bytes));
    absl::SleepFor(Pause);
    ASSERT_EQ(::kill(m_Process, SIGCONT), 0);
  }

  pid_t m_Process = 0;
  std::uint16_t m_Port = 0;

private:
  [[noreturn]] static void serve(int TellPort) {
    HttpServer Server({.m_Threads = 1,
                       .m_IdleTimeout = IdleTimeout,
                       .m_OnRequest = [](HttpExchange Exchange) {
                         Exchange.answer({200, {}, "done"});
                       }});
    std::uint16_t Port = Server.port();
    if (::write(TellPort, &Port, sizeof Port) != sizeof Port)
      ::_exit(1);
    while (true)
      ::pause();
  }
};

// Guards against a request that is late because of a pause of the server.
TEST_F(ServerPauseTest, Request_RestComesDuringAPause_IsAnswered) {
  RawSocket Caller = RawSocket::connectTo(m_Port);
  Caller.sendAll("GET / HTTP/1.1\r\nHost: x\r\nX-Part: o");
  pause(Caller, "ne\r\n\r\n");
  EXPECT_TRUE(Caller.readUntil("done").ends_with("done"));
}

TEST_F(ServerPauseTest, Request_NextComesDuringAPause_IsAnswered) {
  RawSocket Caller = RawSocket::connectTo(m_Port);
  Caller.sendAll("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  ASSERT_TRUE(Caller.readUntil("done").ends_with("done"));
  pause(Caller, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  EXPECT_TRUE(Caller.readUntil("done").ends_with("done"));
}

TEST_F(ServerPauseTest, Request_NothingComes_ConnectionIsClosed) {
  RawSocket Idle = RawSocket::connectTo(m_Port);
  Idle.sendAll("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
  ASSERT_TRUE(Idle.readUntil("done").ends_with("done"));
  RawSocket Inside = RawSocket::connectTo(m_Port);
  Inside.sendAll("GET / HTTP/1.1\r\nHost: x\r\nX-Part: o");
  EXPECT_EQ(Idle.readToEnd(), "");
  EXPECT_EQ(Inside.readToEnd(), "");
}

} // namespace
} // namespace knapweedloft::http
