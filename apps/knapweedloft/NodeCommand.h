#ifndef KNAPWEEDLOFT_NODECOMMAND_H
#define KNAPWEEDLOFT_NODECOMMAND_H

#include "CLI/CLI.hpp"

namespace knapweedloft {

/// `knapweedloft node`: the daemon on the users' platform.
void addNodeCommand(CLI::App &Program);

} // namespace knapweedloft

#endif // KNAPWEEDLOFT_NODECOMMAND_H
