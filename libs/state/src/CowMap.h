#ifndef KNAPWEEDLOFT_STATE_COWMAP_H
#define KNAPWEEDLOFT_STATE_COWMAP_H

#include "absl/container/flat_hash_map.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>

namespace knapweedloft::state {

/// A hash map that is copied cheaply and piecewise on write.
///
/// One owner changes it and hands out frozen copies that share its shards; the
/// next write to a shared shard copies that shard alone. Frozen copies may be
/// read by any thread.
template <typename KeyT, typename ValueT> class CowMap {
public:
  CowMap() = default;

  template <typename AnyKeyT>
  [[nodiscard]] const ValueT *find(const AnyKeyT &Key) const {
    const std::size_t Hash = hashOf(Key);
    const Shard *Part = m_Shards[shardOf(Hash)].get();
    if (Part == nullptr)
      return nullptr;
    auto Found = Part->m_Values.find(Key, Hash);
    return Found == Part->m_Values.end() ? nullptr : &Found->second;
  }

  void set(const KeyT &Key, ValueT Value) {
    auto &Values = own(shardOf(hashOf(Key))).m_Values;
    const bool IsNew = Values.insert_or_assign(Key, std::move(Value)).second;
    m_Size += IsNew ? 1 : 0;
  }

  template <typename AnyKeyT> void erase(const AnyKeyT &Key) {
    if (find(Key) == nullptr)
      return;
    own(shardOf(hashOf(Key))).m_Values.erase(Key);
    --m_Size;
  }

  /// Calls \p Visit with each key and value, in no order.
  template <typename VisitT> void forEach(const VisitT &Visit) const {
    for (const auto &Part : m_Shards) {
      if (Part == nullptr)
        continue;
      for (const auto &[Key, Value] : Part->m_Values)
        Visit(Key, Value);
    }
  }

  [[nodiscard]] std::size_t size() const { return m_Size; }

  /// \returns a copy that later writes to this map do not change. The copy
  /// itself must not be written to.
  [[nodiscard]] CowMap freeze() {
    CowMap Frozen = *this;
    ++m_Version;
    return Frozen;
  }

private:
  using Map = absl::flat_hash_map<KeyT, ValueT>;

  struct Shard {
    std::uint64_t m_Version = 0; ///< Of the owner when it made the shard.
    Map m_Values;
  };

  static constexpr std::size_t ShardBits = 6;

  template <typename AnyKeyT> static std::size_t hashOf(const AnyKeyT &Key) {
    return typename Map::hasher{}(Key);
  }

  static std::size_t shardOf(std::size_t Hash) {
    return Hash >> (sizeof(Hash) * 8 - ShardBits);
  }

  Shard &own(std::size_t Index) {
    auto &Part = m_Shards[Index];
    if (Part == nullptr)
      Part = std::make_shared<Shard>();
    else if (Part->m_Version != m_Version)
      Part = std::make_shared<Shard>(*Part);
    Part->m_Version = m_Version;
    return *Part;
  }

  std::array<std::shared_ptr<Shard>, std::size_t{1} << ShardBits> m_Shards;
  std::uint64_t m_Version = 0;
  std::size_t m_Size = 0;
};

} // namespace knapweedloft::state

#endif // KNAPWEEDLOFT_STATE_COWMAP_H
