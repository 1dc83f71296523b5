#ifndef KNAPWEEDLOFT_LOSSESCOMMAND_H
#define KNAPWEEDLOFT_LOSSESCOMMAND_H

#include "CLI/CLI.hpp"

namespace knapweedloft {

/// `knapweedloft losses`: what became of requests by time, route and reason,
/// from logs.
void addLossesCommand(CLI::App &Program);

} // namespace knapweedloft

#endif // KNAPWEEDLOFT_LOSSESCOMMAND_H
