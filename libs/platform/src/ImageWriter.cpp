#include "platform/ImageWriter.h"

#include "state/Fold.h"
#include "state/ImageParts.h"
#include "state/RecordCodec.h"

#include <random>
#include <string>

namespace knapweedloft::platform {

ImageWriter::ImageWriter(const Options &Settings)
    : m_Settings(Settings), m_Schedule(Settings.m_Schedule),
      m_Random(
          std::seed_seq{static_cast<std::uint32_t>(Settings.m_Seed),
                        static_cast<std::uint32_t>(Settings.m_Seed >> 32)}) {}

std::size_t ImageWriter::review(const LogRead &Read, absl::Time Now) {
  // A state that lacks records of the log is no ground for an image.
  if (m_Settings.m_Feed->isSearching())
    return 0;
  const state::ImageView View{.m_First = Read.m_First,
                              .m_End = m_Settings.m_Replica->offset(),
                              .m_Image = m_Settings.m_Feed->imageOffset(),
                              .m_Part = m_Settings.m_Feed->partOffset()};
  {
    absl::MutexLock Lock(&m_Mutex);
    if (!m_Schedule.shouldWrite(View, Now, m_Random))
      return 0;
    ++m_Written;
  }
  return write(Now);
}

std::uint64_t ImageWriter::written() {
  absl::MutexLock Lock(&m_Mutex);
  return m_Written;
}

std::size_t ImageWriter::write(absl::Time Now) {
  const std::string Image = m_Settings.m_Replica->image();
  std::size_t Queued = 0;
  for (const state::ImagePart &Each : state::splitImage(
           state::offsetOfImage(Image), Image, m_Settings.m_MaxPartBytes)) {
    const bool IsQueued = m_Settings.m_Appender->append(
        {.m_Payload = state::encodeRecord({.m_Entry = Each}),
         .m_Deadline = Now + m_Settings.m_PartDeadline});
    if (!IsQueued)
      break;
    ++Queued;
  }
  return Queued;
}

} // namespace knapweedloft::platform
