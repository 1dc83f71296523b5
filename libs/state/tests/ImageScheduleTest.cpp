#include "state/ImageSchedule.h"

#include "gtest/gtest.h"

#include <random>

namespace knapweedloft::state {
namespace {

class ImageScheduleTest : public testing::Test {
protected:
  bool shouldWriteAfter(ImageSchedule &Schedule, const ImageView &View,
                        absl::Duration Age) {
    return Schedule.shouldWrite(View, absl::UnixEpoch() + Age, m_Random);
  }

  const ImageSchedule::Options m_Limits{.m_MaxRecords = 100,
                                        .m_Spread = absl::Seconds(10),
                                        .m_Patience = absl::Seconds(30)};
  std::mt19937 m_Random{7};
  ImageSchedule m_Schedule{m_Limits};
};

TEST_F(ImageScheduleTest, IsDue_ByRecordsAndByWhatExpires_FollowsTheTable) {
  struct Case {
    ImageView m_View;
    bool m_IsDue;
  };
  const Case Cases[] = {
      {{.m_First = 0, .m_End = 0}, false},
      {{.m_First = 0, .m_End = 99}, false},
      {{.m_First = 0, .m_End = 100}, true},
      {{.m_First = 0, .m_End = 199, .m_Image = 100}, false},
      {{.m_First = 0, .m_End = 200, .m_Image = 100}, true},
      // Records expire: the image must lie in the newer half of what is kept.
      {{.m_First = 10, .m_End = 50, .m_Image = 29}, true},
      {{.m_First = 10, .m_End = 50, .m_Image = 30}, false},
      {{.m_First = 10, .m_End = 50, .m_Image = 0}, true},
  };
  for (const Case &Each : Cases)
    EXPECT_EQ(m_Schedule.isDue(Each.m_View), Each.m_IsDue)
        << Each.m_View.m_First << " " << Each.m_View.m_End << " "
        << Each.m_View.m_Image;
}

TEST_F(ImageScheduleTest, ShouldWrite_Due_WritesWithinTheSpreadAndOnce) {
  const ImageView View{.m_End = 150};
  EXPECT_FALSE(shouldWriteAfter(m_Schedule, View, absl::ZeroDuration()));
  EXPECT_TRUE(shouldWriteAfter(m_Schedule, View, absl::Seconds(10)));
  EXPECT_FALSE(shouldWriteAfter(m_Schedule, View, absl::Seconds(11)));
}

TEST_F(ImageScheduleTest, ShouldWrite_AnotherWrites_HoldsBackWhilePartsCome) {
  ImageView View{.m_End = 150};
  EXPECT_FALSE(shouldWriteAfter(m_Schedule, View, absl::ZeroDuration()));
  View.m_Part = 149;
  EXPECT_FALSE(shouldWriteAfter(m_Schedule, View, absl::Seconds(10)));
  EXPECT_FALSE(shouldWriteAfter(m_Schedule, View, absl::Seconds(39)));
  // The other one died halfway.
  EXPECT_TRUE(shouldWriteAfter(m_Schedule, View, absl::Seconds(40)));
}

TEST_F(ImageScheduleTest, ShouldWrite_AnotherFinished_IsNoLongerDue) {
  ImageView View{.m_End = 150};
  EXPECT_FALSE(shouldWriteAfter(m_Schedule, View, absl::ZeroDuration()));
  View.m_Image = 150;
  View.m_Part = 150;
  EXPECT_FALSE(shouldWriteAfter(m_Schedule, View, absl::Seconds(60)));
}

TEST_F(ImageScheduleTest, ShouldWrite_ManyDaemons_FirstWritesAreSpread) {
  constexpr int Daemons = 20;
  int Early = 0;
  for (int Count = 0; Count < Daemons; ++Count) {
    ImageSchedule Schedule(m_Limits);
    const ImageView View{.m_End = 150};
    (void)shouldWriteAfter(Schedule, View, absl::ZeroDuration());
    Early += shouldWriteAfter(Schedule, View, absl::Seconds(2)) ? 1 : 0;
  }
  EXPECT_GT(Early, 0);
  EXPECT_LT(Early, Daemons / 2);
}

} // namespace
} // namespace knapweedloft::state
