#ifndef KNAPWEEDLOFT_APP_APIANSWERS_H
#define KNAPWEEDLOFT_APP_APIANSWERS_H

#include "app/ApiError.h"
#include "http/HttpMessage.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace knapweedloft::app {

/// Text of \p Value; bytes that are not UTF-8 are replaced.
[[nodiscard]] std::string textOf(const nlohmann::json &Value);

[[nodiscard]] http::HttpResponse jsonAnswer(int Status,
                                            const nlohmann::json &Body);

/// A problem document (RFC 7807) with the members code and field besides.
[[nodiscard]] http::HttpResponse problemAnswer(const ApiError &Error);

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_APIANSWERS_H
