#ifndef KNAPWEEDLOFT_MESH_JSONVALUES_H
#define KNAPWEEDLOFT_MESH_JSONVALUES_H

#include "nlohmann/json.hpp"

#include <cmath>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>

namespace knapweedloft::mesh {

/// \returns \p Value if it is a whole number from 0 to \p Max. The library's
/// own conversion wraps numbers that do not fit, and is undefined for large
/// floating-point ones.
[[nodiscard]] inline std::optional<std::uint64_t>
wholeNumber(const nlohmann::json &Value,
            std::uint64_t Max = std::numeric_limits<std::uint64_t>::max()) {
  std::uint64_t Number = 0;
  if (Value.is_number_unsigned()) {
    Number = Value.get<std::uint64_t>();
  } else if (Value.is_number_float()) {
    constexpr double MaxExact = 9007199254740992; // 2^53
    auto Real = Value.get<double>();
    if (!(Real >= 0 && Real <= MaxExact) || Real != std::floor(Real))
      return std::nullopt;
    Number = static_cast<std::uint64_t>(Real);
  } else {
    return std::nullopt;
  }
  return Number <= Max ? std::optional(Number) : std::nullopt;
}

/// Serializes \p Value; bytes that are no UTF-8 are replaced, where the
/// library's default throws.
[[nodiscard]] inline std::string toJsonText(const nlohmann::json &Value) {
  return Value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_JSONVALUES_H
