#ifndef KNAPWEEDLOFT_APP_RESOURCEJSON_H
#define KNAPWEEDLOFT_APP_RESOURCEJSON_H

#include "model/Resource.h"
#include "state/Snapshot.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace knapweedloft::app {

/// Conversions between resources and the JSON of the resource API. Field names
/// are in snake_case; docs/operators/configuration.md lists them.

/// \throws ApiError with status 400 if \p Text is not a JSON object.
[[nodiscard]] nlohmann::json parseJsonObject(std::string_view Text);

/// Strict: an unknown field, a wrong type and a value out of range are errors
/// that name the field. The name may be left out; if it is there it must be
/// \p Name.
/// \throws ApiError with status 400.
[[nodiscard]] model::Resource resourceFromJson(model::ResourceKind Kind,
                                               const std::string &Name,
                                               const nlohmann::json &Fields);

[[nodiscard]] nlohmann::json jsonOf(const model::Resource &What);

/// With its kind and revision.
[[nodiscard]] nlohmann::json jsonOf(const state::HeldResource &Held);

} // namespace knapweedloft::app

#endif // KNAPWEEDLOFT_APP_RESOURCEJSON_H
