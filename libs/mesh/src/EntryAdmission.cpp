#include "mesh/EntryAdmission.h"

#include <algorithm>
#include <utility>

namespace knapweedloft::mesh {
namespace {

/// A caller that allows less than this share of the longest time seen for its
/// route has spent the rest on an earlier attempt.
constexpr double ResendTimeShare = 0.95;
/// Load reports older than this are ignored.
constexpr absl::Duration ReportLifetime = absl::Seconds(2);
/// How long the admission computed for a route is reused.
constexpr absl::Duration AdmissionLifetime = absl::Milliseconds(50);

} // namespace

void EntryAdmission::setCatalog(CatalogPtr Catalog) {
  m_Catalog = std::move(Catalog);
  m_Admissions.clear();
}

void EntryAdmission::onLoad(const std::string &Service,
                            model::Incarnation Daemon, double RejectedShare,
                            double ConcurrencyLimit, absl::Time Now) {
  auto Found = m_Services.find(Service);
  if (Found != m_Services.end())
    Found->second.m_Reports[Daemon] = {RejectedShare,
                                       std::max(1.0, ConcurrencyLimit), Now};
}

EntryAdmission::ServiceState &
EntryAdmission::serviceOf(const std::string &Name) {
  ServiceState &State = m_Services[Name];
  if (State.m_TargetsVersion == m_TargetsVersion)
    return State;
  State.m_TargetsVersion = m_TargetsVersion;
  State.m_Targets.clear();
  for (PeerTarget &Candidate : m_Options.m_TargetsOf(Name))
    State.m_Targets.push_back(
        {.m_Daemon = Candidate.m_Member.m_Incarnation,
         // A version on trial takes what it is let have,
         // whatever its load.
         .m_IsOpen = Candidate.m_IsOpen && Candidate.m_Exposure >= 1,
         .m_Calls = std::move(Candidate.m_Calls)});
  return State;
}

double EntryAdmission::admittedShareOf(const std::string &Name,
                                       absl::Time Now) {
  const ServiceState &State = serviceOf(Name);
  double AdmittedLimit = 0;
  double TotalLimit = 0;
  for (const Target &Candidate : State.m_Targets) {
    auto Report = State.m_Reports.find(Candidate.m_Daemon);
    // A closed target has free slots, but accepts no requests.
    if (!Candidate.m_IsOpen || Report == State.m_Reports.end() ||
        Now - Report->second.m_Received > ReportLifetime)
      continue;
    AdmittedLimit += Report->second.m_ConcurrencyLimit *
                     (1 - Report->second.m_RejectedShare);
    TotalLimit += Report->second.m_ConcurrencyLimit;
  }
  return TotalLimit > 0 ? AdmittedLimit / TotalLimit : 1;
}

void EntryAdmission::addCalledRoutes(const std::string &Service,
                                     const std::string &Route,
                                     std::vector<std::string> &Reached) {
  for (const Target &Candidate : serviceOf(Service).m_Targets)
    for (const CallEdge &Edge : Candidate.m_Calls)
      if (Edge.m_From == Route &&
          std::find(Reached.begin(), Reached.end(), Edge.m_To) == Reached.end())
        Reached.push_back(Edge.m_To);
}

void EntryAdmission::limitBy(Admission &To, const std::string &Service,
                             double Weight, absl::Time Now) {
  // A service that gets only a share of the calls limits only that share.
  double Share = 1 - Weight * (1 - admittedShareOf(Service, Now));
  if (Share >= To.m_AdmittedShare)
    return;
  To.m_AdmittedShare = Share;
  To.m_Bottleneck = Service;
}

const EntryAdmission::Admission &
EntryAdmission::admissionOf(const CatalogRoute &Route,
                            const std::string &Service, absl::Time Now) {
  Admission &Cached = m_Admissions[Service][Route.m_Name];
  if (Now - Cached.m_Computed < AdmissionLifetime)
    return Cached;
  Cached = {.m_AdmittedShare = 1, .m_Bottleneck = Service, .m_Computed = Now};
  limitBy(Cached, Service, 1, Now);
  std::vector<std::string> Reached{Route.m_Name};
  addCalledRoutes(Service, Route.m_Name, Reached);
  for (std::size_t Index = 1; Index < Reached.size(); ++Index) {
    const CatalogRoute *Called = m_Catalog->route(Reached[Index]);
    if (!Called)
      continue;
    double Weights = 0;
    for (const WeightedService &Destination : Called->m_WeightedServices)
      Weights += Destination.m_Weight;
    for (const WeightedService &Destination : Called->m_WeightedServices) {
      if (Destination.m_Weight <= 0)
        continue;
      limitBy(Cached, Destination.m_Service, Destination.m_Weight / Weights,
              Now);
      addCalledRoutes(Destination.m_Service, Called->m_Name, Reached);
    }
  }
  return Cached;
}

bool EntryAdmission::isResend(const NewRequest &Request) {
  absl::Duration &Longest = m_LongestBudgets[Request.m_Route->m_Name];
  Longest = std::max(Longest, Request.m_TimeBudget);
  return Request.m_TimeBudget < Longest * ResendTimeShare;
}

bool EntryAdmission::tryAdmit(const NewRequest &Request, absl::Time Now,
                              absl::BitGenRef Random) {
  const Admission &Current =
      admissionOf(*Request.m_Route, *Request.m_Service, Now);
  policy::PriorityAdmission &Priorities =
      m_PriorityAdmissions
          .try_emplace(Current.m_Bottleneck, m_Options.m_PriorityAdmission)
          .first->second;
  return Priorities.admit(Request.m_Rank, isResend(Request),
                          Current.m_AdmittedShare, Random);
}

} // namespace knapweedloft::mesh
