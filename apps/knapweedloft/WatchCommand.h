#ifndef KNAPWEEDLOFT_WATCHCOMMAND_H
#define KNAPWEEDLOFT_WATCHCOMMAND_H

#include "CLI/CLI.hpp"

namespace knapweedloft {

/// Adds `watch`: shows changes, or one coming into force.
void addWatchCommand(CLI::App &App);

} // namespace knapweedloft

#endif // KNAPWEEDLOFT_WATCHCOMMAND_H
