#ifndef KNAPWEEDLOFT_MESH_ENTRYDOOR_H
#define KNAPWEEDLOFT_MESH_ENTRYDOOR_H

#include "mesh/CatalogIndex.h"
#include "mesh/PeerTarget.h"
#include "model/Member.h"
#include "policy/DoorOrder.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/node_hash_map.h"
#include "absl/random/bit_gen_ref.h"
#include "absl/time/time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace knapweedloft::mesh {

/// Lets in at the entrance as much new work as the targets can do, and as
/// those can that they call in turn.
///
/// Work that a narrow service far down would refuse is turned away before
/// anything is done for it. What counts for a request are the services that
/// its route reaches by calls; routes of the same service that make none pass.
/// Targets tell the part that they can take (\see policy::DemandGauge) and the
/// calls that they make. Belongs to one thread.
class EntryDoor {
public:
  struct Options {
    policy::DoorOrder::Options m_Order;
    /// \returns the targets of a service that are known.
    std::function<std::vector<PeerTarget>(const std::string &Service)>
        m_TargetsOf;
  };

  /// A request in front of the door.
  struct Asking {
    const CatalogRoute *m_Route = nullptr;
    const std::string *m_Service = nullptr; ///< That of the route's parts.
    std::uint32_t m_Rank = 0;
    absl::Duration m_Given; ///< Time that its caller waits.
  };

  explicit EntryDoor(Options Settings) : m_Options(std::move(Settings)) {}

  void setCatalog(CatalogPtr Catalog);
  /// Targets have come, gone, opened or closed, or call others than before.
  void onTargetsChanged() { ++m_TargetsVersion; }
  /// What the target side of a daemon fed back: the part of new work that is
  /// not to be let in, and how many requests its target can run.
  void onLoad(const std::string &Service, model::Incarnation Daemon,
              double Refused, double Limit, absl::Time Now);

  [[nodiscard]] bool pass(const Asking &Next, absl::Time Now,
                          absl::BitGenRef Random);

private:
  struct Gauge {
    double m_Refused = 0; ///< Part of new work not to be let in.
    double m_Limit = 1;
    absl::Time m_Heard;
  };

  struct Target {
    model::Incarnation m_Daemon = 0;
    bool m_IsOpen = false;
    std::vector<CallEdge> m_Calls;
  };

  struct Service {
    std::uint64_t m_TargetsVersion = 0;
    std::vector<Target> m_Targets;
    absl::flat_hash_map<model::Incarnation, Gauge> m_Gauges;
  };

  /// What the services can do that a route reaches.
  struct Admission {
    double m_Part = 1;
    std::string m_Narrowest; ///< The service that can do so little.
    absl::Time m_At = absl::InfinitePast();
  };

  Service &serviceOf(const std::string &Name);
  [[nodiscard]] double admittedBy(const std::string &Name, absl::Time Now);
  /// Adds to \p Reached the routes that the targets of \p Service call for
  /// \p Route.
  void addCalled(const std::string &Service, const std::string &Route,
                 std::vector<std::string> &Reached);
  [[nodiscard]] const Admission &admitted(const CatalogRoute &Route,
                                          const std::string &Service,
                                          absl::Time Now);
  void narrow(Admission &To, const std::string &Service, double Weight,
              absl::Time Now);
  [[nodiscard]] bool isReturning(const Asking &Next);

  Options m_Options;
  CatalogPtr m_Catalog;
  std::uint64_t m_TargetsVersion = 1;
  absl::node_hash_map<std::string, Service> m_Services;
  /// By service entered and route.
  absl::flat_hash_map<std::string, absl::flat_hash_map<std::string, Admission>>
      m_Admissions;
  /// By the narrowest service: requests that compete for the same room.
  absl::flat_hash_map<std::string, policy::DoorOrder> m_Orders;
  /// The longest time that callers of a route have given, by route.
  absl::flat_hash_map<std::string, absl::Duration> m_FullTimes;
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_ENTRYDOOR_H
