#ifndef KNAPWEEDLOFT_MODEL_KEY_H
#define KNAPWEEDLOFT_MODEL_KEY_H

#include <array>
#include <cstdint>
#include <string>

namespace knapweedloft::model {

/// SHA-256 of a caller's key. The key itself is never stored or forwarded.
using KeyDigest = std::array<std::uint8_t, 32>;

/// A key of a customer, known by its digest only.
struct Key {
  std::string m_Name;     ///< 1 to 64 of [a-z0-9-].
  std::string m_Customer; ///< Name of the customer it speaks for.
  KeyDigest m_Digest{};

  friend bool operator==(const Key &, const Key &) = default;
};

} // namespace knapweedloft::model

#endif // KNAPWEEDLOFT_MODEL_KEY_H
