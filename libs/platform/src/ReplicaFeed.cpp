#include "platform/ReplicaFeed.h"

#include "state/RecordCodec.h"
#include "state/StateError.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace knapweedloft::platform {
namespace {

std::optional<state::ImagePart> imagePartOf(const LogRecord &Record) {
  try {
    const state::Record Decoded = state::decodeRecord(Record.m_Payload);
    if (const auto *Part = std::get_if<state::ImagePart>(&Decoded.m_Entry))
      return *Part;
  } catch (const state::StateError &) {
    // Garbage is skipped here as in the fold.
  }
  return std::nullopt;
}

std::vector<state::StoredRecord> storedRecordsOf(const LogRead &Read) {
  std::vector<state::StoredRecord> Records;
  Records.reserve(Read.m_Records.size());
  for (const LogRecord &Each : Read.m_Records)
    Records.push_back({Each.m_Offset, Each.m_Payload});
  return Records;
}

} // namespace

model::LogOffset ReplicaFeed::next() {
  absl::MutexLock Lock(&m_Mutex);
  endSearchIfCovered();
  return m_IsSearching ? m_ScanAt : m_Replica.offset();
}

void ReplicaFeed::take(const LogRead &Read) {
  std::optional<std::string> Image;
  {
    absl::MutexLock Lock(&m_Mutex);
    m_First = std::max(m_First, Read.m_First);
    Image = scan(Read);
  }
  if (Image)
    load(*Image);
  // Records past a gap are ignored by the replica, so those of a scan do no
  // harm.
  m_Replica.applyRecords(storedRecordsOf(Read));
}

void ReplicaFeed::expire(const OffsetExpired &Expired) {
  absl::MutexLock Lock(&m_Mutex);
  m_First = std::max(m_First, Expired.first());
  m_IsSearching = true;
  m_ScanAt = m_First;
}

bool ReplicaFeed::isSearching() {
  absl::MutexLock Lock(&m_Mutex);
  endSearchIfCovered();
  return m_IsSearching;
}

model::LogOffset ReplicaFeed::imageOffset() {
  absl::MutexLock Lock(&m_Mutex);
  return m_ImageOffset;
}

model::LogOffset ReplicaFeed::partOffset() {
  absl::MutexLock Lock(&m_Mutex);
  return m_PartOffset;
}

std::optional<std::string> ReplicaFeed::scan(const LogRead &Read) {
  std::optional<std::string> Newest;
  for (const LogRecord &Each : Read.m_Records) {
    std::optional<std::string> Image = takePart(Each);
    if (Image)
      Newest = std::move(Image);
    m_ScanAt = std::max(m_ScanAt, Each.m_Offset + 1);
  }
  return Newest;
}

std::optional<std::string> ReplicaFeed::takePart(const LogRecord &Record) {
  const std::optional<state::ImagePart> Part = imagePartOf(Record);
  if (!Part)
    return std::nullopt;
  m_PartOffset = std::max(m_PartOffset, Part->m_Offset);
  std::optional<std::string> Image = m_Assembler.add(*Part);
  if (!Image)
    return std::nullopt;
  m_ImageOffset = std::max(m_ImageOffset, Part->m_Offset);
  const bool Helps = m_IsSearching && Part->m_Offset >= m_First;
  return Helps ? std::move(Image) : std::nullopt;
}

void ReplicaFeed::load(const std::string &Image) {
  try {
    m_Replica.loadImage(Image);
  } catch (const state::StateError &) {
    // Whole by its checksum and yet no image: as if it were not there.
    absl::MutexLock Lock(&m_Mutex);
    m_ImageOffset = 0;
  }
}

void ReplicaFeed::endSearchIfCovered() {
  if (m_IsSearching && m_Replica.offset() >= m_First)
    m_IsSearching = false;
}

} // namespace knapweedloft::platform
