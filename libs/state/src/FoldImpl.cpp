#include "FoldImpl.h"

#include "model/AbslView.h"
#include "state/RecordCodec.h"
#include "state/StateError.h"

#include <utility>

namespace knapweedloft::state {

const SettledChange *SettledChanges::find(std::string_view ChangeId) const {
  auto Found = m_ById.find(model::toAbsl(ChangeId));
  return Found == m_ById.end() ? nullptr : &Found->second;
}

void SettledChanges::add(std::string ChangeId, SettledChange Settled) {
  m_ById[ChangeId] = Settled;
  m_Order.push_back({std::move(ChangeId), Settled});
  if (m_Order.size() <= Fold::RememberedChanges)
    return;
  m_ById.erase(m_Order.front().m_ChangeId);
  m_Order.pop_front();
}

bool RetiredIncarnations::contains(model::Incarnation Who) const {
  return m_Set.contains(Who);
}

void RetiredIncarnations::add(model::Incarnation Who) {
  if (!m_Set.insert(Who).second)
    return;
  m_Order.push_back(Who);
  if (m_Order.size() <= Fold::RememberedIncarnations)
    return;
  m_Set.erase(m_Order.front());
  m_Order.pop_front();
}

FoldResult Fold::Impl::apply(model::LogOffset Offset,
                             std::string_view Payload) {
  if (Offset != m_State.m_Offset)
    throw StateError("a record was applied out of order");
  FoldResult Result = FoldResult::Garbage;
  try {
    const Record Decoded = decodeRecord(Payload);
    Result = std::visit([this](const auto &One) { return applyEntry(One); },
                        Decoded.m_Entry);
  } catch (const StateError &) {
    // The verifier and the rules are the same on every daemon, so every daemon
    // skips the same records.
    Result = FoldResult::Garbage;
  }
  m_State.m_Offset = Offset + 1;
  return Result;
}

FoldResult Fold::Impl::applyEntry(const ResourceChange &Change) {
  if (m_Settled.find(Change.m_ChangeId) != nullptr)
    return FoldResult::Duplicate;
  const ChangeOutcome Outcome = judge(Change);
  m_Settled.add(Change.m_ChangeId, {m_State.m_Offset, Outcome});
  if (Outcome != ChangeOutcome::Applied)
    return FoldResult::Rejected;
  if (Change.m_Resource)
    m_State.set({revisionHere(), *Change.m_Resource});
  else
    m_State.erase(Change.m_Kind, Change.m_Name);
  return FoldResult::Applied;
}

FoldResult Fold::Impl::applyEntry(const Join &Change) {
  const model::Member &Who = Change.m_Member;
  if (m_Retired.contains(Who.m_Incarnation))
    return FoldResult::Rejected;
  const HeldMember *Former = m_State.m_Members.find(Who.m_Name);
  if (Former != nullptr) {
    if (Former->m_Member == Who)
      return FoldResult::Duplicate;
    // The same incarnation may correct its record, such as its service.
    if (Former->m_Member.m_Incarnation != Who.m_Incarnation)
      m_Retired.add(Former->m_Member.m_Incarnation);
  }
  m_State.m_Members.set({revisionHere(), Who});
  return FoldResult::Applied;
}

FoldResult Fold::Impl::applyEntry(const Leave &Change) {
  if (!Change.m_IsDeath)
    m_Retired.add(Change.m_Incarnation);
  const HeldMember *Found = m_State.m_Members.find(Change.m_Name);
  if (Found == nullptr || Found->m_Member.m_Incarnation != Change.m_Incarnation)
    return FoldResult::Duplicate;
  m_State.m_Members.erase(Change.m_Name);
  return FoldResult::Applied;
}

FoldResult Fold::Impl::applyEntry(const KeeperClaim &Change) {
  const KeeperRecord *Present = m_State.m_Keepers.find(Change.m_Shard);
  const std::uint64_t Epoch = Present == nullptr ? 0 : Present->m_Epoch;
  if (Epoch != Change.m_ExpectedEpoch)
    return FoldResult::Rejected;
  m_State.m_Keepers.set(Change.m_Shard, {.m_Epoch = Epoch + 1,
                                         .m_Name = Change.m_Name,
                                         .m_Incarnation = Change.m_Incarnation,
                                         .m_Since = m_State.m_Offset});
  return FoldResult::Applied;
}

FoldResult Fold::Impl::applyEntry(const ImagePart &) {
  return FoldResult::ImagePart;
}

ChangeOutcome Fold::Impl::judge(const ResourceChange &Change) const {
  const HeldResource *Present = m_State.find(Change.m_Kind, Change.m_Name);
  const std::uint64_t Revision = Present == nullptr ? 0 : Present->m_Revision;
  if (Change.m_ExpectedRevision && *Change.m_ExpectedRevision != Revision)
    return ChangeOutcome::RevisionMismatch;
  if (Change.m_Resource)
    return judgeReferences(*Change.m_Resource);
  if (Present == nullptr)
    return ChangeOutcome::NotFound;
  return judgeDeletion(Change);
}

ChangeOutcome Fold::Impl::judgeDeletion(const ResourceChange &Change) const {
  if (Change.m_Kind != model::ResourceKind::Customer)
    return ChangeOutcome::Applied;
  const bool HasKeys = m_State.keyCountOf(Change.m_Name) > 0;
  const bool HasRate =
      m_State.find(model::ResourceKind::Rate, Change.m_Name) != nullptr;
  return HasKeys || HasRate ? ChangeOutcome::CustomerInUse
                            : ChangeOutcome::Applied;
}

ChangeOutcome Fold::Impl::judgeReferences(const model::Resource &What) const {
  auto HasCustomer = [this](const std::string &Name) {
    return m_State.find(model::ResourceKind::Customer, Name) != nullptr;
  };
  if (const auto *Rate = std::get_if<model::Rate>(&What))
    return HasCustomer(Rate->m_Name) ? ChangeOutcome::Applied
                                     : ChangeOutcome::UnknownCustomer;
  const auto *Key = std::get_if<model::Key>(&What);
  if (Key == nullptr)
    return ChangeOutcome::Applied;
  if (!HasCustomer(Key->m_Customer))
    return ChangeOutcome::UnknownCustomer;
  const model::Key *Same = m_State.findKey(Key->m_Digest);
  return Same != nullptr && Same->m_Name != Key->m_Name
             ? ChangeOutcome::DigestInUse
             : ChangeOutcome::Applied;
}

} // namespace knapweedloft::state
