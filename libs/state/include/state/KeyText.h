#ifndef KNAPWEEDLOFT_STATE_KEYTEXT_H
#define KNAPWEEDLOFT_STATE_KEYTEXT_H

#include "model/Key.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace knapweedloft::state {

/// What every key begins with, so that leaked keys can be searched for.
inline constexpr std::string_view KeyPrefix = "kwl_";

/// Random bytes in a key.
inline constexpr std::size_t KeyRandomBytes = 32;

/// \returns a new key of KeyRandomBytes from the kernel's random source, as
/// KeyPrefix and hexadecimal digits.
/// \throws StateError if there is no randomness.
[[nodiscard]] std::string makeKeyText();

/// \returns whether \p Text has the form of a key.
[[nodiscard]] bool isKeyText(std::string_view Text);

/// \returns the SHA-256 of \p Text, whatever its form.
[[nodiscard]] model::KeyDigest digestOf(std::string_view Text);

/// Compares in a time that does not depend on where the digests differ.
[[nodiscard]] bool isSameDigest(const model::KeyDigest &Left,
                                const model::KeyDigest &Right);

[[nodiscard]] std::string hexOf(const model::KeyDigest &Digest);

/// \returns nothing unless \p Text is 64 hexadecimal digits.
[[nodiscard]] std::optional<model::KeyDigest>
digestFromHex(std::string_view Text);

} // namespace knapweedloft::state

#endif // KNAPWEEDLOFT_STATE_KEYTEXT_H
