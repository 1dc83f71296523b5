#include "PlannedStop.h"

#include "gtest/gtest.h"

namespace knapweedloft::mesh {
namespace {

using Step = PlannedStop::Step;

class PlannedStopTest : public ::testing::Test {
protected:
  PlannedStopTest() { m_Stop.begin(m_Began); }

  Step after(absl::Duration Passed, bool IsIdle, std::size_t Connections) {
    return m_Stop.next(IsIdle, Connections, m_Began + Passed);
  }

  static constexpr absl::Duration Timeout = absl::Seconds(5);
  absl::Time m_Began = absl::FromUnixSeconds(1000);
  PlannedStop m_Stop{Timeout};
};

TEST_F(PlannedStopTest, Next_CallersMayStillSend_Waits) {
  EXPECT_EQ(after(PlannedStop::MinDuration - absl::Milliseconds(1), true, 0),
            Step::Wait);
}

TEST_F(PlannedStopTest, Next_Idle_EndsConnectionsThenTheProcess) {
  EXPECT_EQ(after(PlannedStop::MinDuration, true, 3), Step::EndIdle);
  // What waited in the sockets is served first.
  EXPECT_EQ(after(absl::Milliseconds(2400), false, 1), Step::Wait);
  EXPECT_EQ(after(absl::Milliseconds(2500), true, 1), Step::Wait);
  EXPECT_EQ(after(absl::Milliseconds(2550), true, 0), Step::End);
}

TEST_F(PlannedStopTest, Next_CallersNeverClose_EndsSoon) {
  EXPECT_EQ(after(PlannedStop::MinDuration, true, 3), Step::EndIdle);
  EXPECT_EQ(
      after(PlannedStop::MinDuration + PlannedStop::CloseTimeout, true, 3),
      Step::End);
}

TEST_F(PlannedStopTest, Next_NeverIdle_EndsRequestsAtTheTimeout) {
  EXPECT_EQ(after(Timeout - absl::Milliseconds(1), false, 3), Step::Wait);
  EXPECT_EQ(after(Timeout, false, 3), Step::EndRequests);
  EXPECT_EQ(after(Timeout + absl::Milliseconds(1), true, 0), Step::End);
}

TEST_F(PlannedStopTest, Next_CallersReadNoAnswer_EndsSoonAfterTheTimeout) {
  EXPECT_EQ(after(Timeout, false, 3), Step::EndRequests);
  absl::Duration Last = Timeout + PlannedStop::CloseTimeout;
  EXPECT_EQ(after(Last - absl::Milliseconds(1), false, 3), Step::Wait);
  EXPECT_EQ(after(Last, false, 3), Step::End);
}

} // namespace
} // namespace knapweedloft::mesh
