#include "io/MonotonicClock.h"

#include "SuspendedClock.h"

#include "gtest/gtest.h"

namespace knapweedloft::io {
namespace {

TEST(MonotonicClockTest, Now_VmWasSuspended_TimeHasPassed) {
  SuspendedClock Clock;
  absl::Time Before = monotonicNow();
  SuspendedClock::suspend();
  EXPECT_GE(monotonicNow() - Before, SuspendedClock::Length);
}

} // namespace
} // namespace knapweedloft::io
