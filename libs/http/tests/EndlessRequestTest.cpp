#include "LoopFixture.h"

#include <thread>

namespace knapweedloft::http {
namespace {

/// A caller that sends bytes until the server closes the connection.
struct EndlessRequest {
  const char *m_Name;
  const char *m_Begin;
  std::string m_Repeated;
};

class EndlessRequestTest : public LoopFixture,
                           public testing::WithParamInterface<EndlessRequest> {
protected:
  static constexpr std::size_t MaxHeldBytes = 1 << 20;
  static constexpr std::size_t PartBytes = 16 << 10;
  /// What the buffers of the sockets may take beyond the bound.
  static constexpr std::size_t MaxSentBytes = 64 << 20;

  EndlessRequestTest() {
    LoopServer::Options Options;
    Options.m_Limits.m_MaxBodyBytes = 8 << 20;
    Options.m_Limits.m_HeaderTimeout = absl::Seconds(1);
    Options.m_Limits.m_IdleTimeout = absl::Seconds(1);
    Options.m_Limits.m_LingerTimeout = absl::Milliseconds(100);
    Options.m_MaxHeldBytes = MaxHeldBytes;
    serve(std::move(Options));
    onLoop([this] { m_Port = m_Server->port(); });
  }

  /// \returns the bytes that the server took.
  std::size_t sendWithoutEnd() const {
    RawSocket Server = RawSocket::connectTo(m_Port);
    std::string Part;
    while (Part.size() < PartBytes)
      Part += GetParam().m_Repeated;
    std::size_t Sent = 0;
    Server.sendAll(GetParam().m_Begin);
    while (Sent < MaxSentBytes && Server.sendAll(Part))
      Sent += Part.size();
    return Sent;
  }

  std::uint16_t m_Port = 0;
};

// Guards against memory and time that callers take without an end.
TEST_P(EndlessRequestTest, Server_RequestsWithoutEnd_AreCutWithinTheLimits) {
  constexpr std::size_t Callers = 12;
  std::vector<std::thread> Threads;
  std::vector<std::size_t> Sent(Callers);
  for (std::size_t Index = 0; Index < Callers; ++Index)
    Threads.emplace_back([&, Index] { Sent[Index] = sendWithoutEnd(); });
  for (std::thread &Caller : Threads)
    Caller.join();
  for (std::size_t Bytes : Sent)
    EXPECT_LT(Bytes, MaxSentBytes);
  absl::MutexLock Lock(&m_Mutex);
  EXPECT_TRUE(m_Taken.empty());
}

INSTANTIATE_TEST_SUITE_P(
    Places, EndlessRequestTest,
    testing::Values(
        EndlessRequest{"Method", "", "X"}, EndlessRequest{"Path", "GET /", "x"},
        EndlessRequest{"HeaderName", "GET / HTTP/1.1\r\n", "x"},
        EndlessRequest{"HeaderValue", "GET / HTTP/1.1\r\nX: ", "x"},
        EndlessRequest{"Headers", "GET / HTTP/1.1\r\n", "X: y\r\n"},
        EndlessRequest{"ShortHeaders", "GET / HTTP/1.1\r\n", "x:\r\n"},
        EndlessRequest{"BodyWithinItsLength",
                       "POST / HTTP/1.1\r\nContent-Length: 8000000\r\n\r\n",
                       "x"},
        EndlessRequest{"BodyOfHugeLength",
                       "POST / HTTP/1.1\r\nContent-Length: 900000000\r\n\r\n",
                       "x"},
        EndlessRequest{"ChunkSize",
                       "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
                       "0"},
        EndlessRequest{"ChunkExtension",
                       "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "1;",
                       "x"},
        EndlessRequest{"Chunks",
                       "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
                       "1\r\nx\r\n"},
        EndlessRequest{"Trailers",
                       "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "0\r\n",
                       "X: y\r\n"},
        EndlessRequest{"Rubbish", "", "\x01\x02"}),
    [](const auto &Info) { return Info.param.m_Name; });

class HeldRequestsTest : public LoopFixture {};

// Guards against a server that takes many requests' bytes at once.
TEST_F(HeldRequestsTest, Server_ManyUnfinished_LargestIsRefusedUnread) {
  LoopServer::Options Options;
  Options.m_MaxHeldBytes = 1 << 20;
  serve(std::move(Options));
  std::uint16_t Port = 0;
  onLoop([&] { Port = m_Server->port(); });
  RawSocket Small = RawSocket::connectTo(Port);
  Small.sendAll("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\n123");
  RawSocket Large = RawSocket::connectTo(Port);
  Large.sendAll("POST / HTTP/1.1\r\nContent-Length: 2000000\r\n\r\n");
  Large.sendAll(std::string(std::size_t{1} << 20, 'x'));
  EXPECT_NE(Large.readToEnd().find(" 503 "), std::string::npos);
  Small.sendAll("45");
  EXPECT_EQ(taken(0).m_Message.m_Body, "12345");
}

// Guards against a request that waits for good behind line ends.
TEST_F(HeldRequestsTest, Server_NothingButLineEnds_IsClosedWhenIdle) {
  LoopServer::Options Options;
  Options.m_Limits.m_IdleTimeout = absl::ZeroDuration();
  serve(std::move(Options));
  std::uint16_t Port = 0;
  onLoop([&] { Port = m_Server->port(); });
  RawSocket Caller = RawSocket::connectTo(Port);
  while (Caller.sendAll("\r\n")) {
  }
}

} // namespace
} // namespace knapweedloft::http
