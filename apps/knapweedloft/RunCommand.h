#ifndef KNAPWEEDLOFT_RUNCOMMAND_H
#define KNAPWEEDLOFT_RUNCOMMAND_H

#include "CLI/CLI.hpp"

namespace knapweedloft {

/// Adds `run`: starts a daemon and serves until SIGTERM or SIGINT.
void addRunCommand(CLI::App &Program);

} // namespace knapweedloft

#endif // KNAPWEEDLOFT_RUNCOMMAND_H
