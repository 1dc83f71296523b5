#ifndef KNAPWEEDLOFT_RESOURCEINPUT_H
#define KNAPWEEDLOFT_RESOURCEINPUT_H

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace knapweedloft {

/// A resource as an operator gives it.
struct ResourceInput {
  std::string m_Kind; ///< As in the API's paths, "customers".
  std::string m_Name;
  nlohmann::json m_Fields = nlohmann::json::object();

  [[nodiscard]] std::string path() const {
    return "/v1/" + m_Kind + "/" + m_Name;
  }
};

/// Reads KIND NAME FIELD=VALUE...
/// \throws UsageError if an argument cannot be used.
[[nodiscard]] ResourceInput
resourceFromArguments(const std::vector<std::string> &Arguments);

/// Reads a JSON object with kind, name and fields, or an array of them; "-" is
/// standard input.
/// \throws UsageError if the file cannot be used.
[[nodiscard]] std::vector<ResourceInput>
resourcesFromFile(const std::string &Path);

/// \throws UsageError if \p Kind is not a kind of resource.
void checkKind(const std::string &Kind);

} // namespace knapweedloft

#endif // KNAPWEEDLOFT_RESOURCEINPUT_H
