#include "policy/RateShard.h"

namespace knapweedloft::policy {
namespace {

constexpr std::uint64_t FnvOffset = 14695981039346656037U;
constexpr std::uint64_t FnvPrime = 1099511628211U;

std::uint64_t finalize(std::uint64_t Value) {
  Value ^= Value >> 33;
  Value *= 0xff51afd7ed558ccdU;
  Value ^= Value >> 33;
  Value *= 0xc4ceb9fe1a85ec53U;
  Value ^= Value >> 33;
  return Value;
}

} // namespace

std::uint64_t stableHash(std::string_view Text, std::uint64_t Seed) {
  std::uint64_t State = FnvOffset ^ finalize(Seed);
  for (char Character : Text) {
    State ^= static_cast<unsigned char>(Character);
    State *= FnvPrime;
  }
  return finalize(State);
}

std::uint32_t rateShardOf(std::string_view Customer) {
  return static_cast<std::uint32_t>(stableHash(Customer) % RateShardCount);
}

} // namespace knapweedloft::policy
