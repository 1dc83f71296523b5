#ifndef KNAPWEEDLOFT_APP_LOGLEVEL_H
#define KNAPWEEDLOFT_APP_LOGLEVEL_H

#include "model/NameTable.h"

#include <cstdint>

namespace knapweedloft::app {

/// How grave a log line is. A level includes those before it.
enum class LogLevel : std::uint8_t { Error, Warning, Info, Debug };

inline constexpr model::NameTable<LogLevel, 4> LogLevelNames{
    {"error", "warning", "info", "debug"}};

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_LOGLEVEL_H
