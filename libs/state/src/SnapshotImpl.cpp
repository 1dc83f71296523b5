#include "SnapshotImpl.h"

#include "model/AbslView.h"

#include <algorithm>
#include <utility>

namespace knapweedloft::state {
namespace {

std::size_t indexOf(model::ResourceKind Kind) {
  return static_cast<std::size_t>(Kind);
}

} // namespace

Snapshot::Impl::Impl()
    : m_Routes(std::make_shared<const RouteTable>(
          std::vector<const model::Route *>())),
      m_Withdrawn(std::make_shared<const WithdrawnNames>()) {}

std::unique_ptr<const Snapshot::Impl> Snapshot::Impl::freeze() {
  auto Frozen = std::make_unique<Impl>();
  Frozen->m_Offset = m_Offset;
  Frozen->m_Members = m_Members.freeze();
  Frozen->m_Keepers = m_Keepers.freeze();
  Frozen->m_Routes = m_Routes;
  Frozen->m_Withdrawn = m_Withdrawn;
  for (std::size_t Index = 0; Index < m_Resources.size(); ++Index)
    Frozen->m_Resources[Index] = m_Resources[Index].freeze();
  Frozen->m_KeysByDigest = m_KeysByDigest.freeze();
  Frozen->m_QuarantinesByPrint = m_QuarantinesByPrint.freeze();
  Frozen->m_KeyCounts = m_KeyCounts.freeze();
  return Frozen;
}

const HeldResource *Snapshot::Impl::find(model::ResourceKind Kind,
                                         std::string_view Name) const {
  const HeldPtr *Found = m_Resources[indexOf(Kind)].find(model::toAbsl(Name));
  return Found == nullptr ? nullptr : Found->get();
}

std::vector<const HeldResource *>
Snapshot::Impl::list(model::ResourceKind Kind) const {
  std::vector<const HeldResource *> Found;
  const auto &Resources = m_Resources[indexOf(Kind)];
  Found.reserve(Resources.size());
  Resources.forEach([&Found](const std::string &, const HeldPtr &Held) {
    Found.push_back(Held.get());
  });
  std::sort(Found.begin(), Found.end(),
            [](const HeldResource *Left, const HeldResource *Right) {
              return model::nameOf(Left->m_Resource) <
                     model::nameOf(Right->m_Resource);
            });
  return Found;
}

void Snapshot::Impl::set(HeldResource Held) {
  const model::ResourceKind Kind = model::kindOf(Held.m_Resource);
  if (const auto *Former = find(Kind, model::nameOf(Held.m_Resource)))
    removeFromIndexes(*Former);
  setAlone(std::move(Held));
  rebuildFor(Kind);
}

void Snapshot::Impl::erase(model::ResourceKind Kind, std::string_view Name) {
  const HeldResource *Former = find(Kind, Name);
  if (Former == nullptr)
    return;
  removeFromIndexes(*Former);
  m_Resources[indexOf(Kind)].erase(model::toAbsl(Name));
  rebuildFor(Kind);
}

void Snapshot::Impl::setAlone(HeldResource Held) {
  auto Entry = std::make_shared<const HeldResource>(std::move(Held));
  const model::Resource &What = Entry->m_Resource;
  if (const auto *Key = std::get_if<model::Key>(&What)) {
    m_KeysByDigest.set(Key->m_Digest, Entry);
    countKey(Key->m_Customer, 1);
  }
  if (const auto *Quarantine = std::get_if<model::Quarantine>(&What))
    m_QuarantinesByPrint.set(Quarantine->m_Fingerprint, Entry);
  m_Resources[What.index()].set(model::nameOf(What), Entry);
}

void Snapshot::Impl::rebuild() {
  rebuildRoutes();
  rebuildWithdrawn();
}

const model::Key *
Snapshot::Impl::findKey(const model::KeyDigest &Digest) const {
  const HeldPtr *Found = m_KeysByDigest.find(Digest);
  return Found == nullptr ? nullptr
                          : &std::get<model::Key>((*Found)->m_Resource);
}

const model::Quarantine *
Snapshot::Impl::findQuarantine(model::Fingerprint Print) const {
  const HeldPtr *Found = m_QuarantinesByPrint.find(Print);
  return Found == nullptr ? nullptr
                          : &std::get<model::Quarantine>((*Found)->m_Resource);
}

std::uint32_t Snapshot::Impl::keyCountOf(std::string_view Customer) const {
  const std::uint32_t *Found = m_KeyCounts.find(model::toAbsl(Customer));
  return Found == nullptr ? 0 : *Found;
}

void Snapshot::Impl::removeFromIndexes(const HeldResource &Former) {
  if (const auto *Key = std::get_if<model::Key>(&Former.m_Resource)) {
    m_KeysByDigest.erase(Key->m_Digest);
    countKey(Key->m_Customer, -1);
  }
  if (const auto *Old = std::get_if<model::Quarantine>(&Former.m_Resource))
    m_QuarantinesByPrint.erase(Old->m_Fingerprint);
}

void Snapshot::Impl::rebuildFor(model::ResourceKind Kind) {
  if (Kind == model::ResourceKind::Route)
    rebuildRoutes();
  if (Kind == model::ResourceKind::Withdrawal)
    rebuildWithdrawn();
}

void Snapshot::Impl::rebuildRoutes() {
  std::vector<const model::Route *> Routes;
  for (const HeldResource *Each : list(model::ResourceKind::Route))
    Routes.push_back(&std::get<model::Route>(Each->m_Resource));
  m_Routes = std::make_shared<const RouteTable>(Routes);
}

void Snapshot::Impl::rebuildWithdrawn() {
  auto Names = std::make_shared<WithdrawnNames>();
  for (const HeldResource *Each : list(model::ResourceKind::Withdrawal)) {
    const auto &Entry = std::get<model::Withdrawal>(Each->m_Resource);
    const bool IsTarget = Entry.m_Scope == model::WithdrawalScope::Target;
    (IsTarget ? Names->m_Targets : Names->m_DataCenters)
        .insert(Entry.m_Subject);
  }
  m_Withdrawn = std::move(Names);
}

void Snapshot::Impl::countKey(const std::string &Customer,
                              std::int32_t Change) {
  const std::uint32_t Count = keyCountOf(Customer) + Change;
  if (Count == 0)
    m_KeyCounts.erase(model::toAbsl(Customer));
  else
    m_KeyCounts.set(Customer, Count);
}

} // namespace knapweedloft::state
