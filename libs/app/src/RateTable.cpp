#include "RateTable.h"

#include "policy/RateShard.h"

namespace knapweedloft::app {

RateTable::RateTable(const policy::GrantedTokens::Options &Settings)
    : m_Settings(Settings), m_Buckets(BucketCount) {
  for (std::atomic<std::uint32_t> &Bucket : m_Buckets)
    Bucket.store(RateHandle::Invalid, std::memory_order_relaxed);
}

RateHandle RateTable::find(const std::string &Customer) {
  std::size_t Bucket = policy::stableHash(Customer) % BucketCount;
  std::uint32_t Head = m_Buckets[Bucket].load(std::memory_order_acquire);
  RateHandle Found = search(Head, Customer);
  return Found.isValid() ? Found : add(Bucket, Customer);
}

RateEntry &RateTable::at(RateHandle Handle) const {
  return node(Handle.m_Index).m_Entry;
}

RateTable::Node &RateTable::node(std::uint32_t Index) const {
  Chunk *Part = m_Chunks[Index / ChunkSize].load(std::memory_order_acquire);
  return *(*Part)[Index % ChunkSize];
}

RateHandle RateTable::search(std::uint32_t Index,
                             const std::string &Customer) const {
  while (Index != RateHandle::Invalid) {
    const Node &Here = node(Index);
    if (Here.m_Entry.m_Customer == Customer)
      return {Index};
    Index = Here.m_Next;
  }
  return {};
}

RateHandle RateTable::add(std::size_t Bucket, const std::string &Customer) {
  absl::MutexLock Lock(&m_Mutex);
  std::uint32_t Head = m_Buckets[Bucket].load(std::memory_order_acquire);
  RateHandle Found = search(Head, Customer);
  if (Found.isValid())
    return Found;
  std::size_t Size = size();
  if (Size >= ChunkSize * ChunkCount)
    return {};
  if (Size % ChunkSize == 0) {
    m_Owned.push_back(std::make_unique<Chunk>());
    m_Chunks[Size / ChunkSize].store(m_Owned.back().get(),
                                     std::memory_order_release);
  }
  (*m_Owned.back())[Size % ChunkSize] = std::make_unique<Node>(
      Customer, policy::rateShardOf(Customer), m_Settings, Head);
  auto Index = static_cast<std::uint32_t>(Size);
  m_Size.store(Size + 1, std::memory_order_release);
  m_Buckets[Bucket].store(Index, std::memory_order_release);
  return {Index};
}

} // namespace knapweedloft::app
