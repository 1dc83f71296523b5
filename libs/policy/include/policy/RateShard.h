#ifndef KNAPWEEDLOFT_POLICY_RATESHARD_H
#define KNAPWEEDLOFT_POLICY_RATESHARD_H

#include <cstdint>
#include <string_view>

namespace knapweedloft::policy {

/// Number of shards of customers; the rates of a shard have one lease holder.
inline constexpr std::uint32_t RateShardCount = 256;

/// A hash that is the same on every daemon and in every release: FNV-1a with
/// the finalizer of MurmurHash3.
[[nodiscard]] std::uint64_t stableHash(std::string_view Text,
                                       std::uint64_t Seed = 0);

/// \returns the shard of \p Customer, below RateShardCount.
[[nodiscard]] std::uint32_t rateShardOf(std::string_view Customer);

} // namespace knapweedloft::policy

#endif // KNAPWEEDLOFT_POLICY_RATESHARD_H
