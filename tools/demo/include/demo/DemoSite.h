#ifndef KNAPWEEDLOFT_DEMO_DEMOSITE_H
#define KNAPWEEDLOFT_DEMO_DEMOSITE_H

#include "caller/LoadPlan.h"
#include "caller/LoadReport.h"
#include "harness/ProgramResult.h"
#include "harness/Site.h"

#include "absl/time/time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace knapweedloft::demo {

/// A small site: services orders and catalogue in data centers cesis and
/// sigulda, each target of orders calling catalogue through its own daemon.
class DemoSite {
public:
  /// \p PerService is the number of targets of a service in a data center.
  explicit DemoSite(std::size_t PerService);

  [[nodiscard]] harness::Site &site() { return m_Site; }

  /// Runs `knapweedloft Verb --api ... Words` against the first daemon.
  /// \throws HarnessError if it does not end with 0.
  harness::ProgramResult operate(const std::string &Verb,
                                 const std::vector<std::string> &Words);

  /// Creates customer, rate and key. \returns the key.
  [[nodiscard]] std::string addCustomer(const std::string &Name,
                                        double PerSecond, double Burst);

  /// Creates the routes /orders/ and /catalogue/, in force when it returns.
  void addRoutes();

  /// Sends calls to every daemon in turn.
  [[nodiscard]] caller::LoadReport
  send(const std::vector<caller::CallingCustomer> &Customers,
       absl::Duration Duration);

  /// Blocks until a call with \p Key succeeds through every daemon.
  /// \returns whether that happened in time.
  [[nodiscard]] bool awaitServing(const std::string &Key);

  /// \returns requests started by the targets of \p DataCenter so far.
  [[nodiscard]] std::uint64_t startsIn(const std::string &DataCenter);

  /// \returns requests with a caller's key that targets saw.
  [[nodiscard]] std::uint64_t keysSeen();

private:
  harness::Site m_Site;
  std::uint64_t m_Seed = 0;
};

} // namespace knapweedloft::demo

#endif // KNAPWEEDLOFT_DEMO_DEMOSITE_H
