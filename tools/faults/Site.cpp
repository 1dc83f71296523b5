#include "Site.h"

#include "Hop.h"

namespace knapweedloft::faults {
namespace {

constexpr absl::Duration WithinDataCenter = absl::Microseconds(150);

} // namespace

Site::Site(Deployment Spec, Mechanisms InUse, std::uint64_t Seed)
    : m_Spec(std::move(Spec)), m_InUse(InUse), m_Random(Seed),
      m_Ends(m_Spec.m_Services.size()) {
  for (std::size_t Service = 0; Service < m_Spec.m_Services.size(); ++Service)
    for (std::size_t Index = 0; Index < m_Spec.m_Services[Service].m_Targets;
         ++Index)
      m_Hops.push_back(std::make_unique<Hop>(*this, m_Hops.size(), Service,
                                             Index % DataCenters));
  for (auto &One : m_Hops)
    One->connect();
}

Site::~Site() = default;

absl::Duration Site::delay(std::size_t From, std::size_t To) const {
  if (From == To)
    return absl::ZeroDuration();
  bool IsNear = m_Hops[From]->dataCenter() == m_Hops[To]->dataCenter();
  return IsNear ? WithinDataCenter : m_Spec.m_Between;
}

} // namespace knapweedloft::faults
