#include "ConnectionWatcher.h"

#include "RawSocket.h"

#include "absl/time/time.h"
#include "gtest/gtest.h"

#include <sys/socket.h>

namespace knapweedloft::http {
namespace {

/// A connection in the middle of a request. The thread of the watcher itself
/// never gets to look at it.
class ConnectionWatcherTest : public testing::Test {
protected:
  static constexpr absl::Duration Limit = absl::Hours(4);
  static constexpr absl::Duration IdleLimit = absl::Hours(2);
  /// Between two sweeps.
  static constexpr absl::Duration Interval = absl::Minutes(30);

  ConnectionWatcherTest() {
    int Ends[2];
    EXPECT_EQ(socketpair(AF_UNIX, SOCK_STREAM, 0, Ends), 0);
    m_Server = RawSocket(Ends[0]);
    m_Caller = RawSocket(Ends[1]);
    m_Id = m_Watcher.add(Ends[0], m_Now);
    m_Watcher.beginTransfer(m_Id, m_Now);
  }

  ~ConnectionWatcherTest() override { m_Watcher.remove(m_Id); }

  /// \returns whether the connection is open after a sweep at \p Now.
  bool isOpenAfter(absl::Time Due, absl::Time Now) {
    m_Watcher.closeOverdue(Due, Now);
    return !m_Caller.isReadable();
  }

  absl::Time m_Now = absl::FromUnixSeconds(1000);
  ConnectionWatcher m_Watcher{{.m_Idle = IdleLimit, .m_Transfer = Limit},
                              "test"};
  ConnectionWatcher::ConnectionId m_Id = 0;
  RawSocket m_Server{-1};
  RawSocket m_Caller{-1};
};

TEST_F(ConnectionWatcherTest, CloseOverdue_TransferTakesTooLong_IsClosed) {
  EXPECT_TRUE(isOpenAfter(m_Now + Limit, m_Now + Limit));
  absl::Time Late = m_Now + Limit + absl::Seconds(1);
  EXPECT_FALSE(isOpenAfter(Late, Late));
}

TEST_F(ConnectionWatcherTest, CloseOverdue_IdleTooLong_IsClosed) {
  m_Watcher.beginIdle(m_Id, m_Now);
  EXPECT_TRUE(isOpenAfter(m_Now + IdleLimit, m_Now + IdleLimit));
  absl::Time Late = m_Now + IdleLimit + absl::Seconds(1);
  EXPECT_FALSE(isOpenAfter(Late, Late));
}

// Guards against a request that is late because of a pause of the server.
TEST_F(ConnectionWatcherTest, CloseOverdue_ProcessWasPaused_PauseIsNotCounted) {
  absl::Time Used = m_Now + Limit;
  EXPECT_TRUE(isOpenAfter(Used, Used));
  // It stops right after that sweep.
  absl::Time Resumed = Used + 2 * Limit;
  EXPECT_TRUE(isOpenAfter(Used + Interval, Resumed));
  absl::Time Late = Resumed + absl::Seconds(1);
  EXPECT_FALSE(isOpenAfter(Late, Late));
}

TEST_F(ConnectionWatcherTest,
       CloseOverdue_TransferBeganAfterThePause_HasItsTime) {
  absl::Time Resumed = m_Now + 2 * Limit;
  m_Watcher.beginTransfer(m_Id, Resumed);
  EXPECT_TRUE(isOpenAfter(m_Now + Interval, Resumed));
  absl::Time End = Resumed + Limit + absl::Seconds(1);
  EXPECT_FALSE(isOpenAfter(End, End));
}

} // namespace
} // namespace knapweedloft::http
