#ifndef KNAPWEEDLOFT_MODEL_HANDLE_H
#define KNAPWEEDLOFT_MODEL_HANDLE_H

#include <compare>
#include <cstdint>
#include <utility>

namespace knapweedloft::model {

/// A typed index into a container that owns the objects. The container says
/// how long a handle stays valid.
template <typename TagT> struct Handle {
  static constexpr std::uint32_t Invalid = UINT32_MAX;

  std::uint32_t m_Index = Invalid;

  [[nodiscard]] constexpr bool isValid() const { return m_Index != Invalid; }
  friend constexpr auto operator<=>(Handle, Handle) = default;

  template <typename HashT> friend HashT AbslHashValue(HashT State, Handle Id) {
    return HashT::combine(std::move(State), Id.m_Index);
  }
};

} // namespace knapweedloft::model

#endif // KNAPWEEDLOFT_MODEL_HANDLE_H
