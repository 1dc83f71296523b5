#ifndef KNAPWEEDLOFT_OUTPUT_H
#define KNAPWEEDLOFT_OUTPUT_H

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace knapweedloft {

/// Prints \p Items, JSON objects, as a table with a column for each field; the
/// name comes first, kind is left out.
void printTable(const std::vector<nlohmann::json> &Items);

/// Prints \p Value indented.
void printJson(const nlohmann::json &Value);

/// \returns \p Value as it stands in a table.
[[nodiscard]] std::string cellOf(const nlohmann::json &Value);

} // namespace knapweedloft

#endif // KNAPWEEDLOFT_OUTPUT_H
