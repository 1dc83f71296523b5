#ifndef KNAPWEEDLOFT_REVIEW_STANDINS_2_CASE2_H
#define KNAPWEEDLOFT_REVIEW_STANDINS_2_CASE2_H

#include "Site2.h"

#include <memory>
#include <string>
#include <vector>

namespace review2 {

/// How a case ends; run.sh passes it on.
enum ExitCode : int { Held = 0, Broken = 1, CouldNotRun = 2 };

/// A route of the configuration.
struct RouteRow {
  std::string m_Name;
  std::string m_Prefix;
  std::string m_Kind;
  double m_TimeoutS = 10;
  std::string m_Service;
};

/// A site of a few machines: store, daemons, upstreams. Each client's requests
/// carry the key of the one tenant, which has no limit.
class CaseSite {
public:
  /// \p Words: program, template of the settings, folder for settings and logs,
  /// record file, 1 or 0 for the disruption.
  explicit CaseSite(const std::vector<std::string> &Words);

  [[nodiscard]] bool hasTrouble() const { return m_HasTrouble; }
  Record &record() { return m_Record; }
  Platform &platform() { return *m_Platform; }
  /// Writes the configuration. All limits are those of the users' example.
  void configure(const std::vector<RouteRow> &Routes);
  const Place &addMachine(const std::string &Service, int Slots,
                          Upstream::Serve OnRequest);
  [[nodiscard]] const std::vector<std::unique_ptr<Place>> &machines() const {
    return m_Places;
  }
  /// Starts all daemons and waits until they are ready and their upstreams are
  /// in use.
  bool start(double GraceS = 6);
  /// \returns the head of a request, without the empty line that ends it.
  static std::string head(const std::string &Method, const std::string &Path,
                          const std::string &Id, double DeadlineS);

private:
  bool m_HasTrouble;
  std::string m_Network;
  Record m_Record;
  std::unique_ptr<Store> m_Store;
  std::vector<std::unique_ptr<Place>> m_Places;
  std::vector<std::unique_ptr<Upstream>> m_Upstreams;
  std::unique_ptr<Platform> m_Platform; ///< Its processes end first.
};

} // namespace review2

#endif // KNAPWEEDLOFT_REVIEW_STANDINS_2_CASE2_H
