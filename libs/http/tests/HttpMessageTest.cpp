#include "http/HttpMessage.h"

#include "gtest/gtest.h"

namespace knapweedloft::http {
namespace {

TEST(HttpMessageTest, FindHeader_OtherCase_IsFound) {
  HeaderList Headers = {{"X-Y", "1"}, {"x-y", "2"}};
  ASSERT_NE(findHeader(Headers, "x-Y"), nullptr);
  EXPECT_EQ(*findHeader(Headers, "x-Y"), "1");
  EXPECT_EQ(findHeader(Headers, "x-"), nullptr);
}

TEST(HttpMessageTest, RemoveHeader_SeveralFields_RemovesAll) {
  HeaderList Headers = {{"X-Y", "1"}, {"Z", "3"}, {"x-y", "2"}};
  removeHeader(Headers, "X-Y");
  ASSERT_EQ(Headers.size(), 1U);
  EXPECT_EQ(Headers[0].m_Name, "Z");
}

} // namespace
} // namespace knapweedloft::http
