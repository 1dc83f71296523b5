#include "mesh/EntryDoor.h"

#include <algorithm>
#include <utility>

namespace knapweedloft::mesh {
namespace {

/// A caller that gives less than this part of the usual time has used the rest.
constexpr double ReturningPart = 0.95;
/// What a daemon fed back counts for so long.
constexpr absl::Duration GaugeLife = absl::Seconds(2);
/// The services below a route are looked through so often at most.
constexpr absl::Duration AdmissionLife = absl::Milliseconds(50);

} // namespace

void EntryDoor::setCatalog(CatalogPtr Catalog) {
  m_Catalog = std::move(Catalog);
  m_Admissions.clear();
}

void EntryDoor::onLoad(const std::string &Service, model::Incarnation Daemon,
                       double Refused, double Limit, absl::Time Now) {
  auto Found = m_Services.find(Service);
  if (Found != m_Services.end())
    Found->second.m_Gauges[Daemon] = {Refused, std::max(1.0, Limit), Now};
}

EntryDoor::Service &EntryDoor::serviceOf(const std::string &Name) {
  Service &Of = m_Services[Name];
  if (Of.m_TargetsVersion == m_TargetsVersion)
    return Of;
  Of.m_TargetsVersion = m_TargetsVersion;
  Of.m_Targets.clear();
  for (PeerTarget &Known : m_Options.m_TargetsOf(Name))
    Of.m_Targets.push_back({.m_Daemon = Known.m_Member.m_Incarnation,
                            .m_IsOpen = Known.m_IsOpen,
                            .m_Calls = std::move(Known.m_Calls)});
  return Of;
}

double EntryDoor::admittedBy(const std::string &Name, absl::Time Now) {
  const Service &Of = serviceOf(Name);
  double Admitted = 0;
  double Limits = 0;
  for (const Target &Known : Of.m_Targets) {
    auto Told = Of.m_Gauges.find(Known.m_Daemon);
    // A target that takes nothing has room, but for nobody.
    if (!Known.m_IsOpen || Told == Of.m_Gauges.end() ||
        Now - Told->second.m_Heard > GaugeLife)
      continue;
    Admitted += Told->second.m_Limit * (1 - Told->second.m_Refused);
    Limits += Told->second.m_Limit;
  }
  return Limits > 0 ? Admitted / Limits : 1;
}

void EntryDoor::addCalled(const std::string &Service, const std::string &Route,
                          std::vector<std::string> &Reached) {
  for (const Target &Known : serviceOf(Service).m_Targets)
    for (const CallEdge &Edge : Known.m_Calls)
      if (Edge.m_From == Route &&
          std::find(Reached.begin(), Reached.end(), Edge.m_To) == Reached.end())
        Reached.push_back(Edge.m_To);
}

void EntryDoor::narrow(Admission &To, const std::string &Service, double Weight,
                       absl::Time Now) {
  // A part that gets few of the calls can hold up only these.
  double Part = 1 - Weight * (1 - admittedBy(Service, Now));
  if (Part >= To.m_Part)
    return;
  To.m_Part = Part;
  To.m_Narrowest = Service;
}

const EntryDoor::Admission &EntryDoor::admitted(const CatalogRoute &Route,
                                                const std::string &Service,
                                                absl::Time Now) {
  Admission &Known = m_Admissions[Service][Route.m_Name];
  if (Now - Known.m_At < AdmissionLife)
    return Known;
  Known = {.m_Part = 1, .m_Narrowest = Service, .m_At = Now};
  narrow(Known, Service, 1, Now);
  std::vector<std::string> Reached{Route.m_Name};
  addCalled(Service, Route.m_Name, Reached);
  for (std::size_t Next = 1; Next < Reached.size(); ++Next) {
    const CatalogRoute *Called = m_Catalog->route(Reached[Next]);
    if (!Called)
      continue;
    double Weights = 0;
    for (const RoutePart &Part : Called->m_Parts)
      Weights += Part.m_Weight;
    for (const RoutePart &Part : Called->m_Parts) {
      if (Part.m_Weight <= 0)
        continue;
      narrow(Known, Part.m_Service, Part.m_Weight / Weights, Now);
      addCalled(Part.m_Service, Called->m_Name, Reached);
    }
  }
  return Known;
}

bool EntryDoor::isReturning(const Asking &Next) {
  absl::Duration &Full = m_FullTimes[Next.m_Route->m_Name];
  Full = std::max(Full, Next.m_Given);
  return Next.m_Given < Full * ReturningPart;
}

bool EntryDoor::pass(const Asking &Next, absl::Time Now,
                     absl::BitGenRef Random) {
  const Admission &Room = admitted(*Next.m_Route, *Next.m_Service, Now);
  policy::DoorOrder &Order =
      m_Orders.try_emplace(Room.m_Narrowest, m_Options.m_Order).first->second;
  return Order.pass(Next.m_Rank, isReturning(Next), Room.m_Part, Random);
}

} // namespace knapweedloft::mesh
