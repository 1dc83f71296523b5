#include "io/Acceptor.h"

#include "io/Sockets.h"

#include "gtest/gtest.h"

#include <fcntl.h>
#include <optional>
#include <sys/resource.h>
#include <unistd.h>
#include <vector>

namespace knapweedloft::io {
namespace {

class AcceptorTest : public ::testing::Test {
protected:
  AcceptorTest() {
    m_Acceptor.emplace(m_Loop, model::Endpoint{"127.0.0.1", 0},
                       [this](FileDescriptor Socket, std::string From) {
                         m_Sockets.push_back(std::move(Socket));
                         m_From = std::move(From);
                         if (m_Sockets.size() == m_Awaited)
                           m_Loop.stop();
                       });
    m_At = m_Acceptor->endpoint();
  }

  /// Runs until \p Count connections came, or the time is over.
  void await(std::size_t Count, absl::Duration Most = absl::Seconds(10)) {
    m_Awaited = Count;
    m_Loop.post([this] { m_Loop.stop(); }, Most);
    m_Loop.run();
  }

  EventLoop m_Loop;
  std::vector<FileDescriptor> m_Sockets;
  std::string m_From;
  std::size_t m_Awaited = 0;
  model::Endpoint m_At;
  std::optional<Acceptor> m_Acceptor;
};

TEST_F(AcceptorTest, Accept_TwoConnections_HandsBothOverWithTheirOrigin) {
  FileDescriptor One = connectTo(m_At);
  FileDescriptor Other = connectTo(m_At);
  await(2);
  ASSERT_EQ(m_Sockets.size(), 2U);
  EXPECT_EQ(m_From, "127.0.0.1");
  EXPECT_NE(::fcntl(m_Sockets[0].get(), F_GETFL) & O_NONBLOCK, 0);
}

TEST_F(AcceptorTest, Stop_ConnectionThatComesLater_IsRefused) {
  m_Acceptor->stop();
  m_Acceptor->stop(); // Again is no harm.
  FileDescriptor Late = connectTo(m_At);
  await(1, absl::Milliseconds(50));
  EXPECT_TRUE(m_Sockets.empty());
  EXPECT_TRUE(!Late.isValid() || pendingError(Late.get()) != 0);
}

TEST_F(AcceptorTest, Accept_OutOfDescriptors_TakesItOnceThereAreSome) {
  FileDescriptor One = connectTo(m_At);
  rlimit Former{};
  ASSERT_EQ(::getrlimit(RLIMIT_NOFILE, &Former), 0);
  rlimit Few = Former;
  Few.rlim_cur = static_cast<rlim_t>(One.get()) + 1;
  ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &Few), 0);
  await(1, absl::Milliseconds(20));
  ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &Former), 0);
  ASSERT_TRUE(m_Sockets.empty());
  await(1);
  EXPECT_EQ(m_Sockets.size(), 1U);
}

TEST_F(AcceptorTest, Destructor_WhileItRests_LeavesNoTimerBehind) {
  FileDescriptor One = connectTo(m_At);
  rlimit Former{};
  ASSERT_EQ(::getrlimit(RLIMIT_NOFILE, &Former), 0);
  rlimit Few = Former;
  Few.rlim_cur = static_cast<rlim_t>(One.get()) + 1;
  ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &Few), 0);
  await(1, absl::Milliseconds(20));
  ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &Former), 0);
  m_Acceptor.reset();
  await(1, absl::Milliseconds(200));
  EXPECT_TRUE(m_Sockets.empty());
}

} // namespace
} // namespace knapweedloft::io
