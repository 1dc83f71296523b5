#include "Records.h"
#include "state/Fold.h"
#include "state/KeyText.h"

#include "gtest/gtest.h"

#include <random>
#include <string>

namespace knapweedloft::state {
namespace {

/// Bytes that were valid before some of them changed.
class DamagedBytesTest : public testing::Test {
protected:
  static constexpr int Trials = 3000;

  std::string damaged(std::string Bytes) {
    const unsigned Changes = 1 + m_Random() % 4;
    for (unsigned Count = 0; Count < Changes && !Bytes.empty(); ++Count)
      Bytes[m_Random() % Bytes.size()] = static_cast<char>(m_Random());
    if (m_Random() % 8 == 0)
      Bytes.resize(m_Random() % (Bytes.size() + 1));
    return Bytes;
  }

  std::mt19937 m_Random{11};
};

TEST_F(DamagedBytesTest, DecodeRecord_AnyDamage_ThrowsOrGivesARecord) {
  const std::string Payloads[] = {
      putCustomer("id", "acme", 3),
      putKey("id", "k", "acme", digestOf("a")),
      put("id", model::Route{.m_Name = "r",
                             .m_PathPrefix = "/orders",
                             .m_Service = "orders"}),
      join(memberNamed("m1", 7)),
      claim(3, 4, "m1"),
      encodeRecord({.m_Entry = ImagePart{1, 0, 2, 3, "bytes"}})};
  int Refused = 0;
  for (int Trial = 0; Trial < Trials; ++Trial) {
    for (const std::string &Each : Payloads) {
      try {
        (void)decodeRecord(damaged(Each));
      } catch (const StateError &) {
        ++Refused;
      }
    }
  }
  EXPECT_GT(Refused, 0);
}

TEST_F(DamagedBytesTest, FromImage_AnyDamage_ThrowsOrGivesAState) {
  Fold Site;
  Site.apply(0, putCustomer("one", "acme"));
  Site.apply(1, putKey("two", "k", "acme", digestOf("a")));
  Site.apply(2, join(memberNamed("m1", 7)));
  Site.apply(3, claim(3, 0, "m1"));
  const std::string Image = Site.image();
  int Refused = 0;
  for (int Trial = 0; Trial < Trials; ++Trial) {
    try {
      Fold Loaded = Fold::fromImage(damaged(Image));
      (void)Loaded.snapshot();
      (void)Loaded.image();
    } catch (const StateError &) {
      ++Refused;
    }
  }
  EXPECT_GT(Refused, 0);
}

} // namespace
} // namespace knapweedloft::state
