#ifndef KNAPWEEDLOFT_LEDGER_FAULTRUN_H
#define KNAPWEEDLOFT_LEDGER_FAULTRUN_H

#include "ledger/LedgerSite.h"

#include <array>
#include <cstdint>
#include <functional>
#include <random>

namespace knapweedloft::ledger {

enum class Fault : std::uint8_t {
  DaemonKilled,
  TargetKilled,
  DaemonPaused,
  LogPaused,
};

inline constexpr std::size_t FaultCount = 4;
inline constexpr model::NameTable<Fault, FaultCount> FaultNames{
    {"daemon_killed", "target_killed", "daemon_paused", "log_paused"}};

/// Brings faults about, drawn from a seed, until it is told that the calls
/// have ended; everything runs again when it returns.
class FaultRun {
public:
  FaultRun(LedgerSite &Site, std::uint64_t Seed)
      : m_Site(Site), m_Random(Seed) {}

  void run(const std::function<bool()> &IsDone);

  /// Replaces every daemon in turn by a planned stop, until \p IsDone.
  /// \returns how many were replaced.
  std::uint64_t roll(const std::function<bool()> &IsDone);

  [[nodiscard]] const std::array<std::uint64_t, FaultCount> &counts() const {
    return m_Counts;
  }

private:
  void bring(Fault What, std::size_t Index);

  LedgerSite &m_Site;
  std::mt19937_64 m_Random;
  std::array<std::uint64_t, FaultCount> m_Counts{};
};

} // namespace knapweedloft::ledger

#endif // KNAPWEEDLOFT_LEDGER_FAULTRUN_H
