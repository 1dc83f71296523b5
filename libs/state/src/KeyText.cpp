#include "state/KeyText.h"

#include "model/AbslView.h"
#include "state/StateError.h"

#include "absl/strings/escaping.h"

#include <gnutls/crypto.h>
#include <gnutls/gnutls.h>

#include <algorithm>
#include <array>
#include <cstdint>

namespace knapweedloft::state {
namespace {

constexpr std::size_t HexDigitsPerByte = 2;

bool isHexDigit(char Letter) {
  return (Letter >= '0' && Letter <= '9') || (Letter >= 'a' && Letter <= 'f');
}

bool isHex(std::string_view Text, std::size_t Bytes) {
  return Text.size() == Bytes * HexDigitsPerByte &&
         std::all_of(Text.begin(), Text.end(), isHexDigit);
}

std::string hexOfBytes(const std::uint8_t *Bytes, std::size_t Size) {
  return absl::BytesToHexString({reinterpret_cast<const char *>(Bytes), Size});
}

} // namespace

std::string makeKeyText() {
  std::array<std::uint8_t, KeyRandomBytes> Bytes{};
  if (gnutls_rnd(GNUTLS_RND_KEY, Bytes.data(), Bytes.size()) < 0)
    throw StateError("the system gave no random bytes for a key");
  return std::string(KeyPrefix) + hexOfBytes(Bytes.data(), Bytes.size());
}

bool isKeyText(std::string_view Text) {
  return Text.starts_with(KeyPrefix) &&
         isHex(Text.substr(KeyPrefix.size()), KeyRandomBytes);
}

model::KeyDigest digestOf(std::string_view Text) {
  model::KeyDigest Digest{};
  if (gnutls_hash_fast(GNUTLS_DIG_SHA256, Text.data(), Text.size(),
                       Digest.data()) < 0)
    throw StateError("SHA-256 is not available");
  return Digest;
}

bool isSameDigest(const model::KeyDigest &Left, const model::KeyDigest &Right) {
  return gnutls_memcmp(Left.data(), Right.data(), Left.size()) == 0;
}

std::string hexOf(const model::KeyDigest &Digest) {
  return hexOfBytes(Digest.data(), Digest.size());
}

std::optional<model::KeyDigest> digestFromHex(std::string_view Text) {
  model::KeyDigest Digest{};
  if (!isHex(Text, Digest.size()))
    return std::nullopt;
  const std::string Bytes = absl::HexStringToBytes(model::toAbsl(Text));
  std::copy(Bytes.begin(), Bytes.end(), Digest.begin());
  return Digest;
}

} // namespace knapweedloft::state
