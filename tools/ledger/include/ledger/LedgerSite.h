#ifndef KNAPWEEDLOFT_LEDGER_LEDGERSITE_H
#define KNAPWEEDLOFT_LEDGER_LEDGERSITE_H

#include "harness/Site.h"
#include "http/HttpMessage.h"
#include "ledger/Verdict.h"

#include <cstdint>
#include <string>
#include <vector>

namespace knapweedloft::ledger {

/// Four VMs of one service in two data centers, whose targets keep journals.
/// The daemons' ports for callers outlive their processes.
class LedgerSite {
public:
  /// \p IsOpen: the routes need no key, and no rate is kept.
  explicit LedgerSite(bool IsOpen = false);
  ~LedgerSite();

  [[nodiscard]] harness::Site &site() { return m_Site; }
  [[nodiscard]] const std::vector<std::string> &bases() const {
    return m_Bases;
  }
  [[nodiscard]] const std::string &key() const { return m_Key; }

  /// \returns the headers that show the key; none on open routes.
  [[nodiscard]] http::HeaderList authorization() const;

  /// Starts the daemon of node \p Index again, on its former port.
  void restartDaemon(std::size_t Index);
  void restartTarget(std::size_t Index);

  /// Blocks until every daemon answers calls.
  void awaitServing();

  [[nodiscard]] TargetBook readBooks() const;

private:
  void putRoute(const std::string &Name, bool IsIdempotent, bool IsOpen);
  void makeKey();
  void addNode(const std::string &Name, const std::string &DataCenter);

  std::string m_Folder;
  std::vector<std::string> m_Journals;
  std::vector<std::string> m_Bases;
  std::string m_Key;
  harness::Site m_Site;
};

} // namespace knapweedloft::ledger

#endif // KNAPWEEDLOFT_LEDGER_LEDGERSITE_H
