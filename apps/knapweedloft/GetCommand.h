#ifndef KNAPWEEDLOFT_GETCOMMAND_H
#define KNAPWEEDLOFT_GETCOMMAND_H

#include "CLI/CLI.hpp"

namespace knapweedloft {

/// Adds `get`: prints resources.
void addGetCommand(CLI::App &App);

} // namespace knapweedloft

#endif // KNAPWEEDLOFT_GETCOMMAND_H
