#ifndef KNAPWEEDLOFT_TELEMETRY_LOGTEXT_H
#define KNAPWEEDLOFT_TELEMETRY_LOGTEXT_H

#include <string>
#include <string_view>

namespace knapweedloft::telemetry {

/// Appends the value of a log field. Values that are empty or have blanks or
/// control characters are quoted and escaped, so that a line stays one line.
void appendLogValue(std::string &Line, std::string_view Value);

} // namespace knapweedloft::telemetry

#endif // KNAPWEEDLOFT_TELEMETRY_LOGTEXT_H
