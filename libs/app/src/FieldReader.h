#ifndef KNAPWEEDLOFT_APP_FIELDREADER_H
#define KNAPWEEDLOFT_APP_FIELDREADER_H

#include "model/NameTable.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <type_traits>

namespace knapweedloft::app {

/// Reads the fields of a JSON object strictly: every field that is not asked
/// for is an error, and every error names its field.
///
/// Each reader throws ApiError with status 400 if the field has another type,
/// or if it is missing and there is no default.
class FieldReader {
public:
  /// \p Fields must outlive the reader.
  explicit FieldReader(const nlohmann::json &Fields) : m_Fields(Fields) {}

  [[nodiscard]] std::string
  text(const std::string &Name,
       const std::optional<std::string> &Default = std::nullopt);
  [[nodiscard]] double number(const std::string &Name,
                              std::optional<double> Default = std::nullopt);
  [[nodiscard]] bool flag(const std::string &Name, bool Default);

  template <typename EnumT, std::size_t Count>
  [[nodiscard]] EnumT
  choice(const std::string &Name, const model::NameTable<EnumT, Count> &Names,
         std::optional<std::type_identity_t<EnumT>> Default = std::nullopt) {
    std::optional<std::string> DefaultName;
    if (Default)
      DefaultName = std::string(Names.nameOf(*Default));
    const std::string Text = text(Name, DefaultName);
    if (const std::optional<EnumT> Value = Names.valueOf(Text))
      return *Value;
    std::string Allowed = "one of";
    for (std::string_view Each : Names.m_Names)
      Allowed += " " + std::string(Each);
    fail(Name, Allowed);
  }

  /// \returns the value of 16 hexadecimal digits, or nothing.
  [[nodiscard]] static std::optional<std::uint64_t>
  hexNumber(std::string_view Text);

  /// Throws if a field was not asked for.
  void finish() const;

  [[noreturn]] void fail(const std::string &Name,
                         const std::string &Allowed) const;

private:
  [[nodiscard]] const nlohmann::json *take(const std::string &Name);

  const nlohmann::json &m_Fields;
  std::set<std::string> m_Taken;
};

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_FIELDREADER_H
