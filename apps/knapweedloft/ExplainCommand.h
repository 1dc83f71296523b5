#ifndef KNAPWEEDLOFT_EXPLAINCOMMAND_H
#define KNAPWEEDLOFT_EXPLAINCOMMAND_H

#include "CLI/CLI.hpp"

namespace knapweedloft {

/// `knapweedloft explain`: the course of one request, from logs.
void addExplainCommand(CLI::App &Program);

} // namespace knapweedloft

#endif // KNAPWEEDLOFT_EXPLAINCOMMAND_H
