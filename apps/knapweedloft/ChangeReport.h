#ifndef KNAPWEEDLOFT_CHANGEREPORT_H
#define KNAPWEEDLOFT_CHANGEREPORT_H

#include "ApiClient.h"
#include "ExitCode.h"

#include <optional>
#include <string>

namespace knapweedloft {

/// \returns the exit code that stands for \p Answer to a request; nothing
/// means that no daemon answered. Says on stderr why it is no success.
[[nodiscard]] ExitCode reportAnswer(const std::optional<ApiAnswer> &Answer,
                                    const std::string &What);

} // namespace knapweedloft

#endif // KNAPWEEDLOFT_CHANGEREPORT_H
