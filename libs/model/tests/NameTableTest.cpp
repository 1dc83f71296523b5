#include "model/Priority.h"
#include "model/RefusalReason.h"

#include "gtest/gtest.h"

#include <set>

namespace knapweedloft::model {
namespace {

class NameTableTest : public testing::Test {};

TEST_F(NameTableTest, ValueOf_NameOfEachValue_ReturnsThatValue) {
  for (std::size_t Index = 0; Index < RefusalReasonCount; ++Index) {
    auto Reason = static_cast<RefusalReason>(Index);
    EXPECT_EQ(RefusalReasonNames.valueOf(RefusalReasonNames.nameOf(Reason)),
              Reason);
  }
}

TEST_F(NameTableTest, ValueOf_UnknownName_ReturnsNothing) {
  EXPECT_FALSE(PriorityNames.valueOf("urgent").has_value());
}

TEST_F(NameTableTest, NameOf_ValueOutOfRange_SaysInvalid) {
  EXPECT_EQ(PriorityNames.nameOf(static_cast<Priority>(99)), "invalid");
}

TEST_F(NameTableTest, HttpStatusOf_EveryReason_IsAnErrorExceptNone) {
  EXPECT_EQ(httpStatusOf(RefusalReason::None), 200);
  for (std::size_t Index = 1; Index < RefusalReasonCount; ++Index)
    EXPECT_GE(httpStatusOf(static_cast<RefusalReason>(Index)), 400);
}

} // namespace
} // namespace knapweedloft::model
