#ifndef KNAPWEEDLOFT_DELETECOMMAND_H
#define KNAPWEEDLOFT_DELETECOMMAND_H

#include "CLI/CLI.hpp"

namespace knapweedloft {

/// Adds `delete`: deletes one resource.
void addDeleteCommand(CLI::App &App);

} // namespace knapweedloft

#endif // KNAPWEEDLOFT_DELETECOMMAND_H
