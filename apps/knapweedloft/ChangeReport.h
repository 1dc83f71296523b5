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

/// The same for \p Change, of which \p What is the name. Without an answer the
/// change may come into force if it may have reached a daemon.
[[nodiscard]] ExitCode reportChange(const std::optional<ApiAnswer> &Answer,
                                    const http::HttpRequest &Change,
                                    const std::string &What,
                                    const ApiClient &Client);

} // namespace knapweedloft

#endif // KNAPWEEDLOFT_CHANGEREPORT_H
