#ifndef KNAPWEEDLOFT_APP_LOGFIELD_H
#define KNAPWEEDLOFT_APP_LOGFIELD_H

#include "absl/time/time.h"
#include "fmt/format.h"

#include <string>
#include <string_view>

namespace knapweedloft::app {

/// One key=value of a log line. Never give it a caller's key.
struct LogField {
  /// Takes any value that fmt can format.
  template <typename ValueT>
  LogField(std::string_view Key, const ValueT &Value)
      : m_Key(Key), m_Value(fmt::format("{}", Value)) {}

  LogField(std::string_view Key, absl::Duration Value)
      : m_Key(Key), m_Value(absl::FormatDuration(Value)) {}

  std::string_view m_Key;
  std::string m_Value;
};

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_LOGFIELD_H
