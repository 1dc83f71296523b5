#ifndef KNAPWEEDLOFT_APP_BASEURL_H
#define KNAPWEEDLOFT_APP_BASEURL_H

#include "model/Endpoint.h"

#include <string>

namespace knapweedloft::app {

/// \returns "http://ADDRESS:PORT", with brackets around an IPv6 address.
[[nodiscard]] std::string toBaseUrl(const model::Endpoint &At);

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_BASEURL_H
