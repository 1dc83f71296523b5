#include "platform/ImageWriter.h"

#include "logservice/LogStore.h"
#include "state/RecordCodec.h"

#include "absl/synchronization/mutex.h"
#include "gtest/gtest.h"

#include <memory>
#include <string>

namespace knapweedloft::platform {
namespace {

constexpr char Stream[] = "config";

/// Daemons that read one log, by calls instead of threads.
class ImageWriterTest : public testing::Test {
protected:
  struct Daemon {
    state::StateReplica m_Replica;
    ReplicaFeed m_Feed{m_Replica};
  };

  void appendCustomer(int Number) {
    const std::string Name = "c" + std::to_string(Number);
    m_Store.append(
        Stream,
        state::encodeRecord({.m_Entry = state::ResourceChange{
                                 .m_ChangeId = "id-" + Name,
                                 .m_Kind = model::ResourceKind::Customer,
                                 .m_Name = Name,
                                 .m_Resource = model::Customer{
                                     .m_Name = Name, .m_DisplayName = ""}}}));
  }

  /// Lets \p Who read the log until its end. \returns the last read.
  LogRead catchUp(Daemon &Who) {
    while (true) {
      try {
        LogRead Read =
            m_Store.read(Stream, Who.m_Feed.next(), 50, absl::ZeroDuration());
        Who.m_Feed.take(Read);
        if (Read.m_Records.empty())
          return Read;
      } catch (const OffsetExpired &Expired) {
        Who.m_Feed.expire(Expired);
      }
    }
  }

  std::unique_ptr<ImageWriter> writerOf(Daemon &Who, Appender &Appends) {
    return std::make_unique<ImageWriter>(ImageWriter::Options{
        .m_Replica = &Who.m_Replica,
        .m_Feed = &Who.m_Feed,
        .m_Appender = &Appends,
        .m_Schedule = {.m_MaxRecords = 20, .m_Spread = absl::Seconds(10)},
        .m_MaxPartBytes = 256,
        .m_PartDeadline = absl::InfiniteDuration()});
  }

  /// Appends that are done when the appender has ended.
  std::unique_ptr<Appender> appender() {
    return std::make_unique<Appender>(
        Appender::Options{.m_Log = m_Store.service(),
                          .m_Stream = Stream,
                          .m_Now = [] { return absl::UnixEpoch(); },
                          .m_Random = [] { return 0.0; }});
  }

  void awaitEnd(model::LogOffset End) {
    LogRead Read;
    while (Read.m_End < End)
      Read = m_Store.read(Stream, End - 1, 1, absl::Seconds(10));
  }

  logservice::LogStore m_Store;
  const absl::Time m_Start = absl::UnixEpoch();
};

TEST_F(ImageWriterTest, Review_RecordsExpireAfterwards_NewDaemonStillStarts) {
  auto Appends = appender();
  Daemon Old;
  auto Writer = writerOf(Old, *Appends);
  for (int Number = 0; Number < 25; ++Number)
    appendCustomer(Number);
  LogRead Read = catchUp(Old);
  EXPECT_EQ(Writer->review(Read, m_Start), 0U);
  const std::size_t Parts = Writer->review(Read, m_Start + absl::Seconds(10));
  ASSERT_GT(Parts, 2U);
  awaitEnd(25 + Parts);
  appendCustomer(25);
  m_Store.expireBefore(Stream, 25);
  Daemon New;
  catchUp(New);
  catchUp(Old);
  EXPECT_EQ(New.m_Replica.offset(), 26 + Parts);
  EXPECT_EQ(New.m_Replica.image(), Old.m_Replica.image());
}

TEST_F(ImageWriterTest, Review_TwoWriteTheSameImage_DoesNoHarm) {
  auto Appends = appender();
  Daemon One;
  Daemon Two;
  auto WriterOne = writerOf(One, *Appends);
  auto WriterTwo = writerOf(Two, *Appends);
  for (int Number = 0; Number < 25; ++Number)
    appendCustomer(Number);
  const LogRead ReadOne = catchUp(One);
  const LogRead ReadTwo = catchUp(Two);
  std::size_t Parts = 0;
  for (absl::Duration Age : {absl::ZeroDuration(), absl::Seconds(10)}) {
    Parts += WriterOne->review(ReadOne, m_Start + Age);
    Parts += WriterTwo->review(ReadTwo, m_Start + Age);
  }
  awaitEnd(25 + Parts);
  m_Store.expireBefore(Stream, 25);
  Daemon New;
  catchUp(New);
  catchUp(One);
  EXPECT_EQ(New.m_Replica.image(), One.m_Replica.image());
}

TEST_F(ImageWriterTest, Review_StateLacksRecords_WritesNothing) {
  auto Appends = appender();
  Daemon Lost;
  for (int Number = 0; Number < 25; ++Number)
    appendCustomer(Number);
  catchUp(Lost);
  for (int Number = 25; Number < 40; ++Number)
    appendCustomer(Number);
  m_Store.expireBefore(Stream, 30);
  const LogRead Read = catchUp(Lost);
  ASSERT_TRUE(Lost.m_Feed.isSearching());
  auto Writer = writerOf(Lost, *Appends);
  Writer->review(Read, m_Start);
  EXPECT_EQ(Writer->review(Read, m_Start + absl::Seconds(60)), 0U);
}

} // namespace
} // namespace knapweedloft::platform
