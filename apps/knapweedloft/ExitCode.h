#ifndef KNAPWEEDLOFT_EXITCODE_H
#define KNAPWEEDLOFT_EXITCODE_H

#include <cstdint>

namespace knapweedloft {

/// Exit codes of the program; part of its interface.
enum class ExitCode : std::uint8_t {
  Ok = 0,
  Failed = 1,    ///< The operation was tried and did not succeed.
  BadUsage = 2,  ///< Wrong arguments, settings or input; nothing was tried.
  Refused = 3,   ///< A race was lost, or the resource does not allow it.
  NotInTime = 4, ///< Not known, or not in force everywhere, in time.
};

/// Ends the program from a subcommand's callback.
struct Exit {
  ExitCode m_Code;
};

} // namespace knapweedloft

#endif // KNAPWEEDLOFT_EXITCODE_H
