#ifndef KNAPWEEDLOFT_CHANGEOPTIONS_H
#define KNAPWEEDLOFT_CHANGEOPTIONS_H

#include "CLI/CLI.hpp"
#include "http/HttpMessage.h"

#include <cstdint>
#include <optional>
#include <string>

namespace knapweedloft {

/// Options of subcommands that change resources.
struct ChangeOptions {
  std::optional<std::uint64_t> m_IfRevision;
  bool m_IfNew = false;
  std::string m_ChangeId;
  std::string m_Until; ///< "in-force", or empty.
};

/// Adds --if-revision, --change-id and --until; --if-new too if \p MayCreate.
void addChangeOptions(CLI::App &Command, ChangeOptions &Options,
                      bool MayCreate);

/// \returns the header fields of a change, with a change id.
[[nodiscard]] http::HeaderList headersOf(const ChangeOptions &Options);

} // namespace knapweedloft

#endif // KNAPWEEDLOFT_CHANGEOPTIONS_H
