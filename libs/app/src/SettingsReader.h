#ifndef KNAPWEEDLOFT_APP_SETTINGSREADER_H
#define KNAPWEEDLOFT_APP_SETTINGSREADER_H

#include "SettingsFields.h"

#include <toml.hpp>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace knapweedloft::app {

/// Fills settings from parsed TOML, for visitSettings(); finish() then refuses
/// what the settings do not know.
class SettingsReader {
public:
  SettingsReader(const toml::value &Root, std::string File);

  void table(std::string_view Name, bool IsOptional = false);
  void name(std::string_view Key, std::string &Value, Presence Needed);
  void secret(std::string_view Key, std::string &Value);
  void address(std::string_view Key, std::string &Value, Presence Needed);
  void port(std::string_view Key, std::uint16_t &Value, std::int64_t Least,
            Presence Needed);
  void count(std::string_view Key, std::uint32_t &Value, std::int64_t Least,
             std::int64_t Most);
  void duration(std::string_view Key, absl::Duration &Value,
                absl::Duration Least, absl::Duration Most);
  /// Reads a share of a whole, between 0 and 1 and neither of them.
  void share(std::string_view Key, double &Value);
  void endpoints(std::string_view Key, std::vector<model::Endpoint> &Values);
  void level(std::string_view Key, LogLevel &Value);

  /// \throws SettingsError if the file has a table or key that was not shown.
  void finish() const;

  /// \throws SettingsError that names the file, \p Key ("table.key") and what
  /// is \p Allowed.
  [[noreturn]] void fail(std::string_view Key, std::string_view Problem,
                         std::string_view Allowed) const;

private:
  /// \returns the value of \p Key in the table at hand, or null.
  const toml::value *find(std::string_view Key, Presence Needed,
                          std::string_view Allowed);
  const std::string *findText(std::string_view Key, Presence Needed,
                              std::string_view Allowed);
  bool readInteger(std::string_view Key, Presence Needed, std::int64_t Least,
                   std::int64_t Most, std::string_view Unit,
                   std::int64_t &Value);
  [[nodiscard]] std::string qualified(std::string_view Key) const;

  const toml::value &m_Root;
  const std::string m_File;
  std::map<std::string, std::vector<std::string>> m_Known;
  std::string m_Table;
  const toml::table *m_Values = nullptr; ///< Null: the table is not there.
  bool m_IsOptional = false;
};

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_SETTINGSREADER_H
