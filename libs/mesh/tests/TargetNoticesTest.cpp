#include "mesh/TargetNotices.h"

#include "gtest/gtest.h"

#include <cstdint>
#include <memory>
#include <string>

namespace knapweedloft::mesh {
namespace {

class TargetNoticesTest : public testing::Test {
protected:
  static constexpr model::Incarnation Daemon = 11;

  /// The daemon answers that its target leaves.
  void hearLeaving(std::int64_t StartTimeMs) {
    wire::AnswerT Answer;
    Answer.notice = std::make_unique<wire::TargetNoticeT>();
    Answer.notice->instance = std::string("a");
    Answer.notice->start_time_ms = StartTimeMs;
    Answer.notice->is_leaving = true;
    m_Notices.onAnswer(m_Target.m_Member, Answer, m_Now);
  }

  absl::Time m_Now = absl::FromUnixSeconds(1000);
  TargetNotices m_Notices;
  PeerTarget m_Target{.m_Member = {.m_Name = "one", .m_Incarnation = Daemon},
                      .m_Instance = "a"};
};

TEST_F(TargetNoticesTest, IsLeaving_SameStart_IsTrue) {
  hearLeaving(100);
  m_Target.m_StartTimeMs = 100;
  EXPECT_TRUE(m_Notices.isLeaving(m_Target));
  m_Target.m_StartTimeMs = 200;
  EXPECT_FALSE(m_Notices.isLeaving(m_Target));
}

// Guards against an entry side that goes without a target for good, since its
// instance left under a start that was not known and started again.
TEST_F(TargetNoticesTest, IsLeaving_StartUnknownAndOpenAgain_IsFalse) {
  hearLeaving(0);
  EXPECT_TRUE(m_Notices.isLeaving(m_Target));
  m_Target.m_StartTimeMs = 200;
  EXPECT_TRUE(m_Notices.isLeaving(m_Target)) << "not open";
  m_Target.m_IsOpen = true;
  EXPECT_FALSE(m_Notices.isLeaving(m_Target));
}

// A daemon that was started again may not know yet that its target leaves.
TEST_F(TargetNoticesTest, IsLeaving_StartUnknownOpenAtRestarted_IsTrue) {
  hearLeaving(0);
  m_Target.m_StartTimeMs = 200;
  m_Target.m_IsOpen = true;
  m_Target.m_Member.m_Incarnation = Daemon + 1;
  EXPECT_TRUE(m_Notices.isLeaving(m_Target));
}

} // namespace
} // namespace knapweedloft::mesh
