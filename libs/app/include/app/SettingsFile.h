#ifndef KNAPWEEDLOFT_APP_SETTINGSFILE_H
#define KNAPWEEDLOFT_APP_SETTINGSFILE_H

#include "app/Settings.h"
#include "app/SettingsError.h"

#include <istream>
#include <string>

namespace knapweedloft::app {

/// Reads the TOML file \p Path and checks every key.
/// \throws SettingsError for an unreadable file, bad TOML, an unknown or
/// missing key, a wrong type or a value out of range.
[[nodiscard]] Settings loadSettings(const std::string &Path);

/// As loadSettings(), from \p Input; \p Name stands for the file in errors.
[[nodiscard]] Settings readSettings(std::istream &Input,
                                    const std::string &Name);

/// \returns \p Values as TOML, every key present but the token, of which only
/// whether it is set is told.
[[nodiscard]] std::string formatSettings(const Settings &Values);

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_SETTINGSFILE_H
