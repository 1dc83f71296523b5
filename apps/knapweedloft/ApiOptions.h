#ifndef KNAPWEEDLOFT_APIOPTIONS_H
#define KNAPWEEDLOFT_APIOPTIONS_H

#include "CLI/CLI.hpp"

#include "absl/time/time.h"

#include <string>
#include <vector>

namespace knapweedloft {

/// Options of every subcommand that speaks to the resource API.
struct ApiOptions {
  std::vector<std::string> m_Apis; ///< "ADDRESS:PORT" of daemons, in order.
  std::string m_TokenFile;
  double m_TimeoutSeconds = 30;
  std::string m_Output = "table"; ///< Or "json".

  [[nodiscard]] absl::Duration timeout() const {
    return absl::Seconds(m_TimeoutSeconds);
  }
  [[nodiscard]] bool isJson() const { return m_Output == "json"; }
};

/// Adds --api, --token-file, --timeout and --output to \p Command. \p Options
/// must outlive it.
void addApiOptions(CLI::App &Command, ApiOptions &Options);

/// \returns the operators' token from --token-file or, without it, from the
/// environment's KNAPWEEDLOFT_TOKEN; empty if there is none.
/// \throws UsageError if the file cannot be read.
[[nodiscard]] std::string readToken(const ApiOptions &Options);

} // namespace knapweedloft

#endif // KNAPWEEDLOFT_APIOPTIONS_H
