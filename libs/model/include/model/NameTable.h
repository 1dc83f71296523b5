#ifndef KNAPWEEDLOFT_MODEL_NAMETABLE_H
#define KNAPWEEDLOFT_MODEL_NAMETABLE_H

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace knapweedloft::model {

/// The names of an enumeration whose values count up from 0 without gaps.
///
/// \code
///   constexpr NameTable<Priority, 4> PriorityNames{
///       {"critical", "high", "normal", "low"}};
///   PriorityNames.nameOf(Priority::High);  // "high"
///   PriorityNames.valueOf("urgent");       // std::nullopt
/// \endcode
template <typename EnumT, std::size_t Count> struct NameTable {
  std::array<std::string_view, Count> m_Names;

  [[nodiscard]] constexpr std::string_view nameOf(EnumT Value) const {
    auto Index = static_cast<std::size_t>(Value);
    return Index < Count ? m_Names[Index] : "invalid";
  }

  [[nodiscard]] constexpr std::optional<EnumT>
  valueOf(std::string_view Name) const {
    for (std::size_t Index = 0; Index < Count; ++Index)
      if (m_Names[Index] == Name)
        return static_cast<EnumT>(Index);
    return std::nullopt;
  }
};

} // namespace knapweedloft::model

#endif // KNAPWEEDLOFT_MODEL_NAMETABLE_H
