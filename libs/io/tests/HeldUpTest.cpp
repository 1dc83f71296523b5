#include "SuspendedClock.h"
#include "io/EventLoop.h"

#include "gtest/gtest.h"

#include <sys/epoll.h>
#include <sys/eventfd.h>

namespace knapweedloft::io {
namespace {

TEST(HeldUpTest, HeldUp_AtWorkForLong_CountsForWhatCameMeanwhile) {
  SuspendedClock Clock;
  EventLoop Loop;
  FileDescriptor Ready(::eventfd(0, EFD_NONBLOCK));
  std::vector<absl::Duration> Seen;
  EventLoop::WatchId Watch =
      Loop.watch(Ready.get(), EPOLLIN, [&](std::uint32_t) {
        eventfd_t Ignored = 0;
        ::eventfd_read(Ready.get(), &Ignored);
        Seen.push_back(Loop.heldUp());
        if (Seen.size() == 3)
          return Loop.stop();
        if (Seen.size() == 1)
          SuspendedClock::suspend();
        ::eventfd_write(Ready.get(), 1);
      });
  ::eventfd_write(Ready.get(), 1);
  Loop.run();
  Loop.unwatch(Watch);
  ASSERT_EQ(Seen.size(), 3U);
  EXPECT_LT(Seen[0], SuspendedClock::Length);
  EXPECT_GE(Seen[1], SuspendedClock::Length);
  EXPECT_LT(Seen[2], SuspendedClock::Length);
}

} // namespace
} // namespace knapweedloft::io
