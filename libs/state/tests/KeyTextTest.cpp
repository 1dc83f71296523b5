#include "state/KeyText.h"

#include "gtest/gtest.h"

#include <string>

namespace knapweedloft::state {
namespace {

TEST(KeyTextTest, MakeKeyText_Twice_GivesWellFormedDifferentKeys) {
  const std::string First = makeKeyText();
  EXPECT_TRUE(isKeyText(First));
  EXPECT_EQ(First.size(), KeyPrefix.size() + 64);
  EXPECT_NE(First, makeKeyText());
}

TEST(KeyTextTest, IsKeyText_OtherForms_AreRefused) {
  const std::string Key = makeKeyText();
  EXPECT_FALSE(isKeyText(""));
  EXPECT_FALSE(isKeyText(Key.substr(1)));
  EXPECT_FALSE(isKeyText(Key + "0"));
  EXPECT_FALSE(isKeyText(Key.substr(0, Key.size() - 1) + "g"));
}

TEST(KeyTextTest, DigestOf_KnownText_IsSha256) {
  EXPECT_EQ(hexOf(digestOf("abc")),
            "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST(KeyTextTest, DigestFromHex_OwnHex_GivesTheDigestBack) {
  const model::KeyDigest Digest = digestOf("abc");
  EXPECT_EQ(digestFromHex(hexOf(Digest)), Digest);
  EXPECT_FALSE(digestFromHex("abc"));
}

TEST(KeyTextTest, IsSameDigest_AnyByteDiffers_IsFalse) {
  const model::KeyDigest Digest = digestOf("abc");
  EXPECT_TRUE(isSameDigest(Digest, digestOf("abc")));
  for (std::size_t Index = 0; Index < Digest.size(); ++Index) {
    model::KeyDigest Other = Digest;
    Other[Index] ^= 1;
    EXPECT_FALSE(isSameDigest(Digest, Other));
  }
}

} // namespace
} // namespace knapweedloft::state
