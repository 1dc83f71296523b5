#include "state/ImageParts.h"

#include "gtest/gtest.h"

#include <string>
#include <vector>

namespace knapweedloft::state {
namespace {

class ImagePartsTest : public testing::Test {
protected:
  std::optional<std::string> addAll(const std::vector<ImagePart> &Parts) {
    std::optional<std::string> Image;
    for (const ImagePart &Each : Parts)
      if (auto Whole = m_Assembler.add(Each))
        Image = Whole;
    return Image;
  }

  const std::string m_Image = std::string(1000, 'a') + std::string(500, 'b');
  std::vector<ImagePart> m_Parts = splitImage(7, m_Image, 400);
  ImageAssembler m_Assembler{{.m_MaxImages = 2, .m_MaxImageBytes = 4000}};
};

TEST_F(ImagePartsTest, Add_AnyOrderAndTwice_GivesTheImage) {
  ASSERT_EQ(m_Parts.size(), 4U);
  std::swap(m_Parts[0], m_Parts[3]);
  m_Parts.insert(m_Parts.begin() + 1, m_Parts[0]);
  EXPECT_EQ(addAll(m_Parts), m_Image);
}

TEST_F(ImagePartsTest, Add_EmptyImage_HasOnePart) {
  EXPECT_EQ(addAll(splitImage(0, "", 400)), "");
}

TEST_F(ImagePartsTest, Add_MissingPart_GivesNothing) {
  m_Parts.erase(m_Parts.begin() + 2);
  EXPECT_FALSE(addAll(m_Parts));
}

TEST_F(ImagePartsTest, Add_ChangedBytes_GivesNothing) {
  m_Parts[1].m_Bytes[0] = 'x';
  EXPECT_FALSE(addAll(m_Parts));
}

TEST_F(ImagePartsTest, Add_PartsOfTwoWriters_CompleteEachOther) {
  const std::vector<ImagePart> Same = splitImage(7, m_Image, 400);
  EXPECT_EQ(addAll({m_Parts[0], Same[1], m_Parts[2], Same[3]}), m_Image);
}

TEST_F(ImagePartsTest, Add_PartsOfOtherImage_AreKeptApart) {
  const std::vector<ImagePart> Other =
      splitImage(7, std::string(1500, 'c'), 400);
  EXPECT_FALSE(addAll({m_Parts[0], Other[1], m_Parts[2], Other[3]}));
}

TEST_F(ImagePartsTest, Add_ManyTornImages_OldestGivesWay) {
  for (model::LogOffset Offset : {8, 9, 10})
    m_Assembler.add(splitImage(Offset, m_Image, 400)[0]);
  EXPECT_EQ(addAll(splitImage(10, m_Image, 400)), m_Image);
}

TEST_F(ImagePartsTest, Add_IndexOutsideCountOrTooLarge_IsDropped) {
  ImagePart Bad = m_Parts[0];
  Bad.m_Index = Bad.m_Count;
  EXPECT_FALSE(m_Assembler.add(Bad));
  EXPECT_FALSE(addAll(splitImage(7, std::string(5000, 'x'), 900)));
}

} // namespace
} // namespace knapweedloft::state
