#ifndef KNAPWEEDLOFT_REPORTCOMMAND_H
#define KNAPWEEDLOFT_REPORTCOMMAND_H

#include "CLI/CLI.hpp"

namespace knapweedloft {

/// Adds `report`: service-level burn over the daemons that are named.
void addReportCommand(CLI::App &Program);

} // namespace knapweedloft

#endif // KNAPWEEDLOFT_REPORTCOMMAND_H
