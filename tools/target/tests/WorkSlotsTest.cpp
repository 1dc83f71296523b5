#include "target/WorkSlots.h"

#include "absl/synchronization/blocking_counter.h"
#include "gtest/gtest.h"

#include <atomic>

namespace knapweedloft::target {
namespace {

TEST(WorkSlotsTest, Submit_MoreThanSlots_NeverRunsMore) {
  constexpr int Jobs = 20;
  std::atomic<int> Running = 0;
  std::atomic<int> Most = 0;
  absl::BlockingCounter Left(Jobs);
  WorkSlots Slots(2);
  for (int Index = 0; Index < Jobs; ++Index)
    Slots.submit({.m_WorkTime = absl::Milliseconds(1),
                  .m_OnStart =
                      [&] {
                        Most = std::max(Most.load(), ++Running);
                        return true;
                      },
                  .m_OnEnd =
                      [&] {
                        --Running;
                        Left.DecrementCount();
                      }});
  Left.Wait();
  EXPECT_LE(Most, 2);
}

TEST(WorkSlotsTest, OnStart_False_FreesSlot) {
  absl::BlockingCounter Left(1);
  WorkSlots Slots(1);
  Slots.submit({.m_WorkTime = absl::Hours(1),
                .m_OnStart = [] { return false; },
                .m_OnEnd = [] { ADD_FAILURE(); }});
  Slots.submit({.m_WorkTime = absl::ZeroDuration(),
                .m_OnStart = [] { return true; },
                .m_OnEnd = [&] { Left.DecrementCount(); }});
  Left.Wait();
}

} // namespace
} // namespace knapweedloft::target
