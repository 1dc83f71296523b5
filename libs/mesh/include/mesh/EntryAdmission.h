#ifndef KNAPWEEDLOFT_MESH_ENTRYADMISSION_H
#define KNAPWEEDLOFT_MESH_ENTRYADMISSION_H

#include "mesh/CatalogIndex.h"
#include "mesh/PeerTarget.h"
#include "model/Member.h"
#include "policy/PriorityAdmission.h"

#include "absl/container/flat_hash_map.h"
#include "absl/container/node_hash_map.h"
#include "absl/random/bit_gen_ref.h"
#include "absl/time/time.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace knapweedloft::mesh {

/// Entry admission: admits as much new work as the targets can run,
/// including the targets that these call in turn.
///
/// Work that an overloaded service several calls downstream would refuse is
/// rejected before any work is done for it. The admitted share for a request is
/// determined by the service that it enters and those that its route reaches
/// through calls; routes that make no calls are limited only by the service
/// that they enter. Targets report the share of new work that they can accept
/// (\see policy::AdmittedShareController) and the calls that they make. Belongs
/// to one thread.
class EntryAdmission {
public:
  struct Options {
    policy::PriorityAdmission::Options m_PriorityAdmission;
    /// \returns the known targets of a service.
    std::function<std::vector<PeerTarget>(const std::string &Service)>
        m_TargetsOf;
  };

  /// A request to be admitted or rejected.
  struct NewRequest {
    const CatalogRoute *m_Route = nullptr;
    /// Chosen among those of the route.
    const std::string *m_Service = nullptr;
    std::uint32_t m_Rank = 0;
    absl::Duration m_TimeBudget; ///< Time that the caller waits in all.
  };

  explicit EntryAdmission(Options Settings) : m_Options(std::move(Settings)) {}

  void setCatalog(CatalogPtr Catalog);
  /// Targets were added, removed, opened or closed, or their calls changed.
  void onTargetsChanged() { ++m_TargetsVersion; }
  /// Load feedback from the target side of a daemon: the share of new work that
  /// must be rejected, and how many requests its target can run at once.
  void onLoad(const std::string &Service, model::Incarnation Daemon,
              double RejectedShare, double ConcurrencyLimit, absl::Time Now);

  /// Counts a request. \returns whether it is admitted.
  [[nodiscard]] bool tryAdmit(const NewRequest &Request, absl::Time Now,
                              absl::BitGenRef Random);

private:
  struct LoadReport {
    double m_RejectedShare = 0; ///< Of new work.
    double m_ConcurrencyLimit = 1;
    absl::Time m_Received;
  };

  struct Target {
    model::Incarnation m_Daemon = 0;
    bool m_IsOpen = false;
    std::vector<CallEdge> m_Calls;
  };

  struct ServiceState {
    std::uint64_t m_TargetsVersion = 0;
    std::vector<Target> m_Targets;
    absl::flat_hash_map<model::Incarnation, LoadReport> m_Reports;
  };

  /// Share of new work that the services reached by a route can accept.
  struct Admission {
    double m_AdmittedShare = 1;
    std::string m_Bottleneck; ///< Service that determines the share.
    absl::Time m_Computed = absl::InfinitePast();
  };

  ServiceState &serviceOf(const std::string &Name);
  [[nodiscard]] double admittedShareOf(const std::string &Name, absl::Time Now);
  /// Appends to \p Reached the routes that the targets of \p Service call while
  /// they run requests of \p Route.
  void addCalledRoutes(const std::string &Service, const std::string &Route,
                       std::vector<std::string> &Reached);
  /// \returns the admission for a route, computed at most once in
  /// AdmissionLifetime.
  [[nodiscard]] const Admission &admissionOf(const CatalogRoute &Route,
                                             const std::string &Service,
                                             absl::Time Now);
  /// Lowers the admitted share of \p To if \p Service, which gets the share
  /// \p Weight of the calls, can accept less.
  void limitBy(Admission &To, const std::string &Service, double Weight,
               absl::Time Now);
  /// \returns whether the caller seems to have sent the request before.
  [[nodiscard]] bool isResend(const NewRequest &Request);

  Options m_Options;
  CatalogPtr m_Catalog;
  std::uint64_t m_TargetsVersion = 1;
  absl::node_hash_map<std::string, ServiceState> m_Services;
  /// By entered service and route.
  absl::flat_hash_map<std::string, absl::flat_hash_map<std::string, Admission>>
      m_Admissions;
  /// By bottleneck service: its requests compete for the same capacity.
  absl::flat_hash_map<std::string, policy::PriorityAdmission>
      m_PriorityAdmissions;
  /// Longest time that a caller of a route has allowed, by route.
  absl::flat_hash_map<std::string, absl::Duration> m_LongestBudgets;
};

} // namespace knapweedloft::mesh

#endif // KNAPWEEDLOFT_MESH_ENTRYADMISSION_H
