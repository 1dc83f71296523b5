#include "state/Snapshot.h"

#include "SnapshotImpl.h"
#include "model/AbslView.h"

#include <utility>

namespace knapweedloft::state {

Snapshot::Snapshot(std::unique_ptr<const Impl> State)
    : m_Impl(std::move(State)) {}

Snapshot::~Snapshot() = default;

model::LogOffset Snapshot::offset() const { return m_Impl->m_Offset; }

const model::Key *Snapshot::findKey(const model::KeyDigest &Digest) const {
  return m_Impl->findKey(Digest);
}

const model::Route *Snapshot::findRoute(std::string_view Method,
                                        std::string_view Path) const {
  return m_Impl->m_Routes->find(Method, Path);
}

const model::Rate *Snapshot::findRate(std::string_view Customer) const {
  const HeldResource *Found = find(model::ResourceKind::Rate, Customer);
  return Found == nullptr ? nullptr : &std::get<model::Rate>(Found->m_Resource);
}

const model::Quarantine *
Snapshot::findQuarantine(model::Fingerprint Print) const {
  return m_Impl->findQuarantine(Print);
}

const std::vector<const model::Member *> &
Snapshot::membersOf(std::string_view Service) const {
  return m_Impl->m_Members.ofService(Service);
}

const std::vector<const model::Member *> &Snapshot::members() const {
  return m_Impl->m_Members.all();
}

const model::Member *Snapshot::findMember(std::string_view Name) const {
  const HeldMember *Found = m_Impl->m_Members.find(Name);
  return Found == nullptr ? nullptr : &Found->m_Member;
}

bool Snapshot::isWithdrawn(const model::Member &Who) const {
  const WithdrawnNames &Names = *m_Impl->m_Withdrawn;
  return Names.m_DataCenters.contains(Who.m_DataCenter) ||
         Names.m_Targets.contains(Who.m_Name);
}

const HeldResource *Snapshot::find(model::ResourceKind Kind,
                                   std::string_view Name) const {
  return m_Impl->find(Kind, Name);
}

std::vector<const HeldResource *>
Snapshot::list(model::ResourceKind Kind) const {
  return m_Impl->list(Kind);
}

KeeperRecord Snapshot::keeperOf(std::uint32_t Shard) const {
  const KeeperRecord *Found = m_Impl->m_Keepers.find(Shard);
  return Found == nullptr ? KeeperRecord() : *Found;
}

} // namespace knapweedloft::state
