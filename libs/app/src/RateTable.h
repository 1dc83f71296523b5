#ifndef KNAPWEEDLOFT_APP_RATETABLE_H
#define KNAPWEEDLOFT_APP_RATETABLE_H

#include "RateEntry.h"
#include "model/Handle.h"

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace knapweedloft::app {

using RateHandle = model::Handle<RateEntry>;

/// The entries of all customers that have called. Entries are only added, so
/// lookups take no lock.
class RateTable {
public:
  explicit RateTable(const policy::GrantedTokens::Options &Settings);

  /// \returns the entry of \p Customer, added if there is none. Invalid if the
  /// table is full.
  RateHandle find(const std::string &Customer);

  [[nodiscard]] RateEntry &at(RateHandle Handle) const;

  [[nodiscard]] std::size_t size() const {
    return m_Size.load(std::memory_order_acquire);
  }

private:
  static constexpr std::size_t ChunkSize = 256;
  static constexpr std::size_t ChunkCount = 256;
  static constexpr std::size_t BucketCount = 8192;

  struct Node {
    Node(const std::string &Customer, std::uint32_t Shard,
         const policy::GrantedTokens::Options &Settings, std::uint32_t Next)
        : m_Entry(Customer, Shard, Settings), m_Next(Next) {}

    RateEntry m_Entry;
    std::uint32_t m_Next; ///< In the same bucket.
  };
  using Chunk = std::array<std::unique_ptr<Node>, ChunkSize>;

  [[nodiscard]] Node &node(std::uint32_t Index) const;
  [[nodiscard]] RateHandle search(std::uint32_t Index,
                                  const std::string &Customer) const;
  RateHandle add(std::size_t Bucket, const std::string &Customer);

  policy::GrantedTokens::Options m_Settings;
  std::vector<std::atomic<std::uint32_t>> m_Buckets;
  std::array<std::atomic<Chunk *>, ChunkCount> m_Chunks{};
  std::atomic<std::size_t> m_Size{0};
  absl::Mutex m_Mutex;
  std::vector<std::unique_ptr<Chunk>> m_Owned ABSL_GUARDED_BY(m_Mutex);
};

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_RATETABLE_H
