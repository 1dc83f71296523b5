#ifndef KNAPWEEDLOFT_CHECKCOMMAND_H
#define KNAPWEEDLOFT_CHECKCOMMAND_H

#include "CLI/CLI.hpp"

namespace knapweedloft {

/// Adds `check`: reads the settings as a daemon would and prints them.
void addCheckCommand(CLI::App &App);

} // namespace knapweedloft

#endif // KNAPWEEDLOFT_CHECKCOMMAND_H
