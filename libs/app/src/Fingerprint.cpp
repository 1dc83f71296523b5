#include "app/Fingerprint.h"

namespace knapweedloft::app {
namespace {

constexpr std::uint64_t FnvOffsetBasis = 0xcbf29ce484222325;
constexpr std::uint64_t FnvPrime = 0x100000001b3;

std::uint64_t mix(std::uint64_t Hash, std::string_view Part) {
  for (char Byte : Part) {
    Hash ^= static_cast<unsigned char>(Byte);
    Hash *= FnvPrime;
  }
  // A byte that no UTF-8 text holds keeps "ab"+"c" apart from "a"+"bc".
  Hash ^= 0xff;
  return Hash * FnvPrime;
}

} // namespace

model::Fingerprint fingerprintOf(std::string_view Customer,
                                 std::string_view Method, std::string_view Path,
                                 std::string_view Body) {
  std::uint64_t Hash = FnvOffsetBasis;
  for (std::string_view Part : {Customer, Method, Path, Body})
    Hash = mix(Hash, Part);
  return Hash == 0 ? 1 : Hash;
}

} // namespace knapweedloft::app
