#ifndef KNAPWEEDLOFT_LEDGER_KILLERRUN_H
#define KNAPWEEDLOFT_LEDGER_KILLERRUN_H

#include "ledger/LedgerSite.h"

#include <atomic>
#include <cstdint>
#include <functional>

namespace knapweedloft::ledger {

/// One caller that sends a request which ends each target that runs it, again
/// and again through different daemons, and a supervisor that starts dead
/// targets again.
class KillerRun {
public:
  explicit KillerRun(LedgerSite &Site) : m_Site(Site) {}

  /// Until \p IsDone, and the killer was refused by every daemon in a row or
  /// sent often enough.
  void run(const std::function<bool()> &IsDone);

  [[nodiscard]] std::uint64_t deaths() const { return m_Deaths; }
  [[nodiscard]] std::uint64_t sendings() const { return m_Sendings; }
  /// \returns whether every daemon refused it in a row, as quarantined.
  [[nodiscard]] bool isPutAside() const { return m_IsPutAside; }
  /// \returns whether the resource API lists a quarantine.
  [[nodiscard]] bool isListed();

private:
  void sendAgainAndAgain();
  void reviveTargets();

  LedgerSite &m_Site;
  std::uint64_t m_Deaths = 0;
  std::atomic<std::uint64_t> m_Sendings = 0;
  std::atomic<bool> m_IsPutAside = false;
  std::atomic<bool> m_HasEnded = false;
};

} // namespace knapweedloft::ledger

#endif // KNAPWEEDLOFT_LEDGER_KILLERRUN_H
