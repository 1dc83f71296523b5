#ifndef KNAPWEEDLOFT_APPLYCOMMAND_H
#define KNAPWEEDLOFT_APPLYCOMMAND_H

#include "CLI/CLI.hpp"

namespace knapweedloft {

/// Adds `apply`: creates or replaces resources.
void addApplyCommand(CLI::App &App);

} // namespace knapweedloft

#endif // KNAPWEEDLOFT_APPLYCOMMAND_H
