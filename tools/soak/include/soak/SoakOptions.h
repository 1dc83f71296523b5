#ifndef KNAPWEEDLOFT_SOAK_SOAKOPTIONS_H
#define KNAPWEEDLOFT_SOAK_SOAKOPTIONS_H

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace knapweedloft::soak {

struct SoakOptions {
  std::uint64_t m_Seed = 1;
  std::size_t m_Vms = 5;
  absl::Duration m_Length = absl::Seconds(20); ///< With faults.
  /// Afterwards, without faults; in its last 3 s most requests must succeed.
  absl::Duration m_Calm = absl::Seconds(9);
  double m_RequestsPerSecond = 40; ///< At each VM.
  /// Mean time between two faults.
  absl::Duration m_FaultEvery = absl::Milliseconds(700);
  /// Bounds of time are checked too. A machine that is too busy breaks them.
  bool m_ChecksTimes = true;
  std::string m_Program;   ///< Of the daemon.
  std::string m_Directory; ///< For settings and the daemons' logs.
  bool m_IsTold = false;   ///< Each fault is printed.
};

} // namespace knapweedloft::soak

#endif // KNAPWEEDLOFT_SOAK_SOAKOPTIONS_H
