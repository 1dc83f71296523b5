#ifndef KNAPWEEDLOFT_FLEET_FLEETSITE_H
#define KNAPWEEDLOFT_FLEET_FLEETSITE_H

#include "harness/Site.h"
#include "http/HttpClient.h"

#include "absl/time/time.h"

#include <cstddef>
#include <string>
#include <vector>

namespace knapweedloft::fleet {

/// Thirty real daemons in three data centers, two targets of the service
/// "orders" in each, and the stand-in of the log.
class FleetSite {
public:
  static constexpr std::size_t DaemonCount = 30;
  static constexpr std::size_t TargetCount = 6;

  FleetSite();

  harness::Site &site() { return m_Site; }
  http::HttpClient &client() { return m_Client; }

  /// \returns the data center of node \p Index.
  [[nodiscard]] static std::string dataCenterOf(std::size_t Index);

  /// \returns the callers' base of node \p Index.
  [[nodiscard]] std::string base(std::size_t Index);
  [[nodiscard]] std::vector<std::string> allBases();

  /// Asks the API of every node for \p Path until each answers \p Status.
  /// \returns the seconds that took; infinity past \p Most.
  double secondsUntilAll(const std::string &Path, int Status,
                         absl::Duration Most = absl::Seconds(60));

  /// Puts a customer called \p Name with a key and a rate.
  /// \returns the key.
  std::string addCustomer(const std::string &Name, double PerSecond,
                          double Burst);

  /// Sets the faults of the log, a JSON object.
  void setLogFaults(const std::string &Json);

  /// \returns the runs that the target of node \p Index began.
  std::size_t runsOf(std::size_t Index);

private:
  std::vector<std::size_t> missing(const std::vector<std::size_t> &Asked,
                                   const std::string &Path, int Status);

  harness::Site m_Site;
  http::HttpClient m_Client{{}};
};

} // namespace knapweedloft::fleet

#endif // KNAPWEEDLOFT_FLEET_FLEETSITE_H
