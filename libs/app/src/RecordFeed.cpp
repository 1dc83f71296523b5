#include "RecordFeed.h"

#include "SpreadWire.h"
#include "policy/RateShard.h"

#include <algorithm>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace knapweedloft::app {
namespace {

/// Messages to one subscriber in a row.
constexpr int MaxBatches = 16;

} // namespace

void RecordFeed::onAsk(const std::string &From,
                       const link::wire::RecordsAskT &Ask,
                       const link::wire::Stamp &Stamp, absl::Time Now) {
  Subscriber &To = m_Subscribers[From];
  To.m_Until = Now + m_Settings.m_SubscribedFor;
  To.m_SentThrough = Ask.from;
  feed(From, To, Stamp);
}

void RecordFeed::onImageAsk(const std::string &From) {
  std::string Image = m_Replica.image();
  std::uint64_t Checksum = policy::stableHash(Image);
  std::size_t Count = Image.size() / m_Settings.m_ChunkBytes + 1;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    std::size_t Begin = Index * m_Settings.m_ChunkBytes;
    std::size_t End = std::min(Begin + m_Settings.m_ChunkBytes, Image.size());
    link::wire::ImageChunkT Chunk;
    Chunk.offset = m_Replica.offset();
    Chunk.index = static_cast<std::uint32_t>(Index);
    Chunk.count = static_cast<std::uint32_t>(Count);
    Chunk.checksum = Checksum;
    Chunk.bytes.assign(Image.begin() + static_cast<std::ptrdiff_t>(Begin),
                       Image.begin() + static_cast<std::ptrdiff_t>(End));
    if (!m_Send(From, wrap(std::move(Chunk))))
      return;
  }
  ++m_ImagesSent;
}

void RecordFeed::push(const link::wire::Stamp &Stamp, absl::Time Now) {
  absl::erase_if(m_Subscribers,
                 [Now](const auto &One) { return One.second.m_Until <= Now; });
  model::LogOffset Reached = m_Replica.offset();
  for (auto &[Name, To] : m_Subscribers)
    if (To.m_SentThrough < Reached)
      feed(Name, To, Stamp);
}

void RecordFeed::feed(const std::string &Name, Subscriber &To,
                      const link::wire::Stamp &Stamp) {
  for (int Batch = 0; Batch < MaxBatches; ++Batch) {
    if (To.m_SentThrough >= m_Replica.offset())
      return;
    std::optional<std::vector<state::StoredRecord>> Records =
        m_Replica.recordsFrom(To.m_SentThrough, m_Settings.m_MaxRecords);
    if (!Records)
      return sendTooOld(Name, Stamp);
    if (Records->empty() || !sendRecords(Name, To, *Records, Stamp))
      return;
  }
}

bool RecordFeed::sendRecords(const std::string &Name, Subscriber &To,
                             const std::vector<state::StoredRecord> &Records,
                             const link::wire::Stamp &Stamp) {
  link::wire::RecordsT Message;
  Message.stamp = Stamp;
  Message.first_offset = Records.front().m_Offset;
  for (const state::StoredRecord &One : Records) {
    auto Record = std::make_unique<link::wire::RecordT>();
    Record->offset = One.m_Offset;
    Record->payload.assign(One.m_Payload.begin(), One.m_Payload.end());
    Message.records.push_back(std::move(Record));
  }
  if (!m_Send(Name, wrap(std::move(Message))))
    return false;
  To.m_SentThrough = Records.back().m_Offset + 1;
  m_RecordsSent += Records.size();
  return true;
}

void RecordFeed::sendTooOld(const std::string &Name,
                            const link::wire::Stamp &Stamp) {
  link::wire::RecordsT Message;
  Message.stamp = Stamp;
  Message.first_offset = m_Replica.offset();
  m_Send(Name, wrap(std::move(Message)));
}

} // namespace knapweedloft::app
