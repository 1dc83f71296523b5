#ifndef KNAPWEEDLOFT_APP_SETTINGSERROR_H
#define KNAPWEEDLOFT_APP_SETTINGSERROR_H

#include <stdexcept>

namespace knapweedloft::app {

/// The settings cannot be used. The text is one line that names the file, the
/// key and what is allowed.
class SettingsError : public std::runtime_error {
public:
  using std::runtime_error::runtime_error;
};

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_SETTINGSERROR_H
